package admin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
)

// maxNameBytes bounds the name of an endpoint or a replica.
const maxNameBytes = 256

// handler executes a request. [errorResponse] returns the response to its error.
type handler func(controller Controller, req request) (response, error)

// route holds the handlers of a path and the bodies that it accepts.
type route struct {
	get, post handler // nil: the path does not have the method
	// name describes the name that the body must contain; empty if it must contain none.
	name string
	// anyBody passes any body on. If name is empty and anyBody is false, the request must not have a body.
	anyBody bool
}

const (
	endpointName = "the id of a backend: send its name alone, as the directory lists it"
	replicaName  = "the name of a copy: send it alone, as GET /ops/fleet tells it"
	rolloutPath  = "/ops/rollout"
)

var routes = map[string]route{
	"/ops/readiness":       {get: readiness},
	"/ops/stats":           {get: stats},
	"/ops/faults":          {get: document(Controller.Faults)},
	"/ops/backends/down":   {post: namedCommand(Controller.TakeDown), name: endpointName},
	"/ops/backends/up":     {post: namedCommand(Controller.Restore), name: endpointName},
	"/ops/drain/start":     {post: command(Controller.StartDrain)},
	"/ops/drain/stop":      {post: command(Controller.StopDrain)},
	"/ops/fleet":           {get: document(Controller.Fleet)},
	"/ops/fleet/shared":    {get: document(Controller.SharedState)},
	"/ops/fleet/forget":    {post: forgetReplica, name: replicaName},
	rolloutPath:            {get: document(Controller.Rollout), post: startRollout, anyBody: true},
	"/ops/rollout/pause":   {post: rolloutCommand("pause"), anyBody: true},
	"/ops/rollout/resume":  {post: rolloutCommand("resume"), anyBody: true},
	"/ops/rollout/abort":   {post: rolloutCommand("abort"), anyBody: true},
	"/ops/rollout/back":    {post: rolloutCommand("back"), anyBody: true},
	"/ops/rollout/refused": {post: rolloutCommand("refused"), anyBody: true},
}

const unknownPath = "nothing is at this path: call GET /ops/readiness, GET /ops/stats, POST /ops/backends/down, " +
	"POST /ops/backends/up, POST /ops/drain/start, POST /ops/drain/stop, GET /ops/fleet, GET /ops/fleet/shared, " +
	"POST /ops/fleet/forget, GET or POST /ops/rollout, " +
	"or POST /ops/rollout/ with pause, resume, abort, back or refused"

// bodyLimit returns the maximum length of the body of a request to a path, in bytes.
func bodyLimit(path string) int64 {
	if path == rolloutPath {
		return maxPlan
	}
	return maxBody
}

// handle executes a request and returns its response, also for an error.
func handle(controller Controller, req request) response {
	resp, err := dispatch(controller, req)
	if err != nil {
		return errorResponse(err)
	}
	return resp
}

// dispatch checks a request against the route of its path and executes it.
func dispatch(controller Controller, req request) (response, error) {
	r, known := routes[req.path]
	if !known {
		return response{}, failf(http.StatusNotFound, unknownPath)
	}
	run := r.handler(req.method)
	if run == nil {
		err := failf(http.StatusMethodNotAllowed, "this path takes %s", r.allow())
		err.allow = r.allow()
		return response{}, err
	}
	argument := req.argument()
	switch {
	case r.name != "" && !validName(argument):
		return response{}, failf(http.StatusBadRequest, "the body is not %s", r.name)
	case r.name == "" && !r.anyBody && argument != "":
		return response{}, failf(http.StatusBadRequest, "a body where none belongs: send none")
	}
	return run(controller, req)
}

// handler returns the handler of a method, or nil if the path does not have the method.
func (r route) handler(method string) handler {
	switch method {
	case http.MethodGet:
		return r.get
	case http.MethodPost:
		return r.post
	}
	return nil
}

// allow returns the methods of the path, as in the Allow header.
func (r route) allow() string {
	switch {
	case r.post == nil:
		return http.MethodGet
	case r.get == nil:
		return http.MethodPost
	}
	return "GET or POST"
}

// validName reports whether a text can be a name: of limited length, and without spaces or control characters.
func validName(text string) bool {
	return text != "" && len(text) <= maxNameBytes && !strings.ContainsFunc(text, func(r rune) bool {
		return r <= ' ' || r == 0x7f || r == 0xfffd
	})
}

// errorResponse returns the response to an error, with its own status or the status of its kind.
func errorResponse(err error) response {
	var own *statusError
	switch {
	case errors.As(err, &own):
		return own.response()
	case errors.Is(err, ErrUnknownEndpoint), errors.Is(err, ErrNoFleet),
		errors.Is(err, ErrNothingShared), errors.Is(err, ErrNoRollouts):
		return failf(http.StatusNotFound, "%v", err).response()
	}
	return failf(http.StatusServiceUnavailable, "%v", err).response()
}

var done = response{status: http.StatusOK, text: "done"}

func readiness(controller Controller, _ request) (response, error) {
	if err := controller.Readiness(); err != nil {
		return response{}, err
	}
	return response{status: http.StatusOK, text: "ready"}, nil
}

func stats(controller Controller, _ request) (response, error) {
	text, err := json.Marshal(controller.Stats())
	if err != nil {
		return response{}, failf(http.StatusInternalServerError, "%v", err)
	}
	return response{status: http.StatusOK, text: string(text), json: true}, nil
}

// document returns a handler that responds with a JSON document.
func document(get func(Controller) (json.RawMessage, error)) handler {
	return func(controller Controller, _ request) (response, error) {
		text, err := get(controller)
		var unencodable *json.UnsupportedValueError
		if errors.As(err, &unencodable) {
			return response{}, failf(http.StatusInternalServerError, "%v", err)
		}
		if err != nil {
			return response{}, err
		}
		return response{status: http.StatusOK, text: string(text), json: true}, nil
	}
}

// command returns a handler that executes a command without an argument.
func command(execute func(Controller) error) handler {
	return func(controller Controller, _ request) (response, error) {
		return done, execute(controller)
	}
}

// namedCommand returns a handler that executes a command with the name in the body.
func namedCommand(execute func(Controller, string) error) handler {
	return func(controller Controller, req request) (response, error) {
		return done, execute(controller, req.argument())
	}
}

func forgetReplica(controller Controller, req request) (response, error) {
	if err := controller.ForgetReplica(req.argument()); err != nil {
		return response{}, failf(http.StatusNotFound, "%v", err)
	}
	return done, nil
}

func startRollout(controller Controller, req request) (response, error) {
	if err := controller.StartRollout([]byte(req.body)); err != nil {
		return response{}, failf(http.StatusConflict, "%v", err)
	}
	return done, nil
}

func rolloutCommand(command string) handler {
	return func(controller Controller, req request) (response, error) {
		if err := controller.RolloutCommand(command, req.argument()); err != nil {
			return response{}, failf(http.StatusConflict, "%v", err)
		}
		return done, nil
	}
}
