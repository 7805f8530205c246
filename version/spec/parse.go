package spec

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// MaxFileSize is the largest configuration file accepted, in bytes.
const MaxFileSize = 8 << 20

// maxDepth bounds the nesting of a file; the schema needs six levels.
const maxDepth = 32

//go:embed schema.json
var schemaJSON []byte

const schemaURL = "file.schema.json"

// compiledSchema compiles the embedded schema once. It panics on an error in the schema,
// which is a bug in the program that any test that parses a file reveals.
var compiledSchema = sync.OnceValue(func() *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaJSON))
	if err != nil {
		panic(fmt.Errorf("spec: embedded schema: %w", err))
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaURL, doc); err != nil {
		panic(fmt.Errorf("spec: embedded schema: %w", err))
	}
	return compiler.MustCompile(schemaURL)
})

// Schema returns the JSON Schema of configuration files.
func Schema() []byte { return bytes.Clone(schemaJSON) }

// Parse checks a configuration file and returns it. name stands for the file in
// errors. The error is a *ValidationError that lists all problems of one stage: errors
// in the JSON text, violations of the schema, or inconsistencies between fields. A stage
// runs only if the one before found nothing, since it would only repeat its findings.
func Parse(name string, data []byte) (*File, error) {
	problems := &problemList{file: name}
	if len(data) > MaxFileSize {
		problems.add("", "split it into several files", "the file has %d bytes, the limit is %d", len(data), MaxFileSize)
		return nil, problems.err()
	}
	checkText(problems, data)
	if err := problems.err(); err != nil {
		return nil, err
	}
	checkSchema(problems, data)
	if err := problems.err(); err != nil {
		return nil, err
	}
	file := new(File)
	if err := json.Unmarshal(data, file); err != nil {
		problems.add("", "see the schema", "%v", err)
		return nil, problems.err()
	}
	checkFile(problems, file)
	if err := problems.err(); err != nil {
		return nil, err
	}
	return file, nil
}

// checkSchema adds every violation of the schema.
func checkSchema(problems *problemList, data []byte) {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		problems.add("", "write one JSON object", "not valid JSON: %v", err)
		return
	}
	err = compiledSchema().Validate(value)
	if err == nil {
		return
	}
	violation, ok := err.(*jsonschema.ValidationError)
	if !ok {
		problems.add("", "see the schema", "%v", err)
		return
	}
	addViolations(problems, violation)
}
