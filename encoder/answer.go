package encoder

import (
	"net/http"
	"strings"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	v1 "agatevalve/wire/agatevalvev1"
)

// AnswerToWire encodes the final answer to a job.
func AnswerToWire(a dispatcher.Answer) *v1.Answer {
	m := &v1.Answer{
		Outcome: a.Outcome.String(),
		Reason:  strings.ToValidUTF8(a.Reason, "?"),
		Remedy:  strings.ToValidUTF8(a.Remedy, "?"),
		Status:  int32(a.Status),
	}
	for _, r := range a.Responses {
		m.Responses = append(m.Responses, ResponseToWire(r))
	}
	return m
}

// AnswerFromWire decodes the final answer to a job. An answer of the outcome
// Complete must have responses; every other must have a reason, an error status
// and no responses.
func AnswerFromWire(m *v1.Answer) (dispatcher.Answer, error) {
	if m == nil {
		return dispatcher.Answer{}, missing("answer")
	}
	outcome, err := outcomeFromWire(m.GetOutcome())
	if err != nil {
		return dispatcher.Answer{}, err
	}
	a := dispatcher.Answer{
		Outcome: outcome,
		Reason:  m.GetReason(),
		Remedy:  m.GetRemedy(),
		Status:  int(m.GetStatus()),
	}
	if outcome == task.Complete {
		a.Responses, err = responsesFromWire(m.GetResponses())
		return a, err
	}
	return a, checkFailure(m)
}

func responsesFromWire(responses []*v1.Response) ([]task.Response, error) {
	if len(responses) == 0 {
		return nil, missing("responses of a complete answer")
	}
	out := make([]task.Response, len(responses))
	for i, m := range responses {
		r, err := ResponseFromWire(m)
		if err != nil {
			return nil, err
		}
		out[i] = r
	}
	return out, nil
}

// checkFailure checks an answer whose outcome is not Complete.
func checkFailure(m *v1.Answer) error {
	if len(m.GetResponses()) > 0 {
		return invalid("an answer of outcome %s holds responses", m.GetOutcome())
	}
	if m.GetReason() == "" {
		return missing("reason of an answer of outcome %s", m.GetOutcome())
	}
	if m.GetStatus() < http.StatusBadRequest || m.GetStatus() > maxStatus {
		return invalid("the status %d of an answer is no error", m.GetStatus())
	}
	return nil
}

func outcomeFromWire(s string) (task.Outcome, error) {
	for o := task.Complete; o <= task.MayHaveRun; o++ {
		if o.String() == s {
			return o, nil
		}
	}
	return 0, invalid("the outcome %q is unknown", s)
}
