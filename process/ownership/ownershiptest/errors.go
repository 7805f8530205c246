package ownershiptest

import (
	"fmt"

	"fennelshunt.example/fennelshunt/connection/store"
)

// errDown is what Confirm and Epochs return while the store is down.
var errDown = fmt.Errorf("ownershiptest: %w", store.ErrUnavailable)
