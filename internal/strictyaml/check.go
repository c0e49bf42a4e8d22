package strictyaml

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

var checker = newChecker()

func newChecker() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		return name
	})
	return v
}

// Check applies the validate tags of target, a pointer to a struct.
func Check(target any) Problems {
	err := checker.Struct(target)
	if err == nil {
		return nil
	}
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return Problems{{What: err.Error(), Remedy: "report it"}}
	}
	var problems Problems
	for _, violation := range violations {
		problems = append(problems, describe(violation))
	}
	return problems
}

func describe(violation validator.FieldError) Problem {
	_, field, _ := strings.Cut(violation.Namespace(), ".")
	problem := Problem{Field: field, What: fmt.Sprintf("%v is not allowed", violation.Value())}
	parameter := violation.Param()
	switch violation.Tag() {
	case "required", "required_with":
		problem.What, problem.Remedy = "is not given", "set it"
	case "min", "gte":
		problem.Remedy = "give at least " + parameter
	case "max", "lte":
		problem.Remedy = "give at most " + parameter
	case "gt":
		problem.Remedy = "give more than " + parameter
	case "oneof":
		problem.Remedy = "give one of " + strings.ReplaceAll(parameter, " ", ", ")
	case "url", "http_url":
		problem.What = fmt.Sprintf("%q is not a URL", violation.Value())
		problem.Remedy = "write it as http://host:port"
	default:
		problem.Remedy = "satisfy the rule " + violation.Tag()
	}
	return problem
}
