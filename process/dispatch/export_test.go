package dispatch

import (
	"errors"

	"fennelshunt.example/fennelshunt/connection/store"
)

func asConflict(err error, into **store.ConflictError) bool { return errors.As(err, into) }
