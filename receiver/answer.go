package receiver

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"unicode/utf8"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

const (
	answerMediaType = "application/vnd.agatevalve.job-answer+json"
	// leastStatus and mostStatus bound the final status of a response.
	leastStatus = 200
	mostStatus  = 599
)

type answerWire struct {
	Job   string         `json:"job"`
	Tasks []responseWire `json:"tasks"`
}

type responseWire struct {
	Status     int         `json:"status"`
	Header     http.Header `json:"header"`
	Body       *string     `json:"body,omitempty"`
	BodyBase64 []byte      `json:"body-base64,omitempty"`
}

// write sends one answer or refusal, whole.
func (c *Receiver) write(w http.ResponseWriter, r *http.Request, sub submission, answer dispatcher.Answer) {
	if p := c.check(sub, answer); p != nil {
		c.refuse(w, p)
		return
	}
	boundWrite(w)
	if !sub.job {
		writeResponse(w, r, answer.Responses[0])
		return
	}
	body, err := encodeJob(sub.Job, answer.Responses)
	if err != nil {
		c.refuse(w, unusable("the answer can't be encoded: "+err.Error()))
		return
	}
	if len(body) > c.o.Limits.AnswerBytes {
		c.refuse(w, c.tooLarge(len(body)))
		return
	}
	w.Header().Set("Content-Type", answerMediaType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(body) // A caller that has left needs no answer.
}

// check returns the problem that an answer is or has, or nil when it is whole.
func (c *Receiver) check(sub submission, answer dispatcher.Answer) *problem {
	if answer.Outcome != task.Complete {
		return refusalOf(answer)
	}
	if len(answer.Responses) != len(sub.Tasks) {
		return unusable(fmt.Sprintf("%d of %d responses are there", len(answer.Responses), len(sub.Tasks)))
	}
	size := 0
	for _, response := range answer.Responses {
		if response.Status < leastStatus || response.Status > mostStatus {
			return unusable(fmt.Sprintf("the target answered with status %d", response.Status))
		}
		size += len(response.Body)
	}
	if size > c.o.Limits.AnswerBytes {
		return c.tooLarge(size)
	}
	return nil
}

func refusalOf(answer dispatcher.Answer) *problem {
	p := &problem{
		status:  answer.Status,
		name:    answer.Outcome.String(),
		detail:  answer.Reason,
		outcome: answer.Outcome,
		remedy:  answer.Remedy,
		retryAt: answer.RetryAt,
	}
	if p.status < http.StatusBadRequest || p.status > mostStatus {
		p.status = defaultStatus(answer.Outcome)
	}
	return p
}

func defaultStatus(outcome task.Outcome) int {
	switch outcome {
	case task.NotRun:
		return http.StatusServiceUnavailable
	case task.Failed:
		return http.StatusBadGateway
	}
	return http.StatusGatewayTimeout
}

// unusable is the end of a submission that ran and whose answer can't be given.
func unusable(detail string) *problem {
	return &problem{
		status:  http.StatusBadGateway,
		name:    "unusable-answer",
		detail:  detail,
		outcome: task.Failed,
		remedy:  "check the effects at the target before you repeat it",
	}
}

func (c *Receiver) tooLarge(size int) *problem {
	p := unusable(fmt.Sprintf("the answer has %d bytes, more than %d", size, c.o.Limits.AnswerBytes))
	p.name = "answer-too-large"
	p.remedy = "split the job, or ask the operators to raise answer-bytes"
	return p
}

// writeResponse passes on the response of a minion. The length is known before
// the first byte, so that a cut answer can't look whole.
func writeResponse(w http.ResponseWriter, r *http.Request, response task.Response) {
	for name, values := range endToEnd(response.Header) {
		if name != headerJob {
			w.Header()[name] = values
		}
	}
	if length := response.Header.Get("Content-Length"); r.Method == http.MethodHead && length != "" {
		w.Header().Set("Content-Length", length)
	}
	if r.Method != http.MethodHead && response.Status != http.StatusNoContent && response.Status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	w.WriteHeader(response.Status)
	if r.Method != http.MethodHead {
		_, _ = w.Write(response.Body) // A caller that has left needs no answer.
	}
}

// encodeJob writes the same bytes for the same responses.
func encodeJob(job task.JobID, responses []task.Response) ([]byte, error) {
	answer := answerWire{Job: job.String(), Tasks: make([]responseWire, len(responses))}
	for i, response := range responses {
		answer.Tasks[i] = responseToWire(response)
	}
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(answer); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func responseToWire(response task.Response) responseWire {
	wire := responseWire{Status: response.Status, Header: response.Header}
	if wire.Header == nil {
		wire.Header = http.Header{}
	}
	if utf8.Valid(response.Body) {
		text := string(response.Body)
		wire.Body = &text
		return wire
	}
	wire.BodyBase64 = response.Body
	return wire
}
