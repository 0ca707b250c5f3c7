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
	// answerMediaType is the content type of the answer to a job.
	answerMediaType = "application/vnd.agatevalve.job-answer+json"
	// minStatus and maxStatus bound the status of a final response.
	minStatus = 200
	maxStatus = 599
)

// answerWire is the JSON form of the answer to a job.
type answerWire struct {
	Job   string         `json:"job"`
	Tasks []responseWire `json:"tasks"`
}

// responseWire is the JSON form of a task's response. Body holds valid UTF-8;
// other bodies are in BodyBase64.
type responseWire struct {
	Status     int         `json:"status"`
	Header     http.Header `json:"header"`
	Body       *string     `json:"body,omitempty"`
	BodyBase64 []byte      `json:"body-base64,omitempty"`
}

// writeAnswer sends a complete answer or, if there is none, a problem document.
func (c *Receiver) writeAnswer(w http.ResponseWriter, r *http.Request, sub submission, answer dispatcher.Answer) {
	if p := c.checkAnswer(sub, answer); p != nil {
		c.refuse(w, p)
		return
	}
	setWriteDeadline(w)
	if !sub.isJob {
		writeResponse(w, r, answer.Responses[0])
		return
	}
	body, err := encodeJobAnswer(sub.Job, answer.Responses)
	if err != nil {
		c.refuse(w, unusableAnswer("the answer can't be encoded: "+err.Error()))
		return
	}
	if len(body) > c.options.Limits.AnswerBytes {
		c.refuse(w, c.answerTooLarge(len(body)))
		return
	}
	w.Header().Set("Content-Type", answerMediaType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(body) // The caller may have disconnected.
}

// checkAnswer returns nil for a complete and valid answer, and otherwise the
// problem to send instead.
func (c *Receiver) checkAnswer(sub submission, answer dispatcher.Answer) *problem {
	if answer.Outcome != task.Complete {
		return problemFromAnswer(answer)
	}
	if len(answer.Responses) != len(sub.Tasks) {
		return unusableAnswer(fmt.Sprintf("%d of %d responses are there", len(answer.Responses), len(sub.Tasks)))
	}
	size := 0
	for _, response := range answer.Responses {
		if response.Status < minStatus || response.Status > maxStatus {
			return unusableAnswer(fmt.Sprintf("the target answered with status %d", response.Status))
		}
		size += len(response.Body)
	}
	if size > c.options.Limits.AnswerBytes {
		return c.answerTooLarge(size)
	}
	return nil
}

// problemFromAnswer converts the answer of a submission that did not complete.
func problemFromAnswer(answer dispatcher.Answer) *problem {
	p := &problem{
		status:   answer.Status,
		typeName: answer.Outcome.String(),
		detail:   answer.Reason,
		outcome:  answer.Outcome,
		remedy:   answer.Remedy,
		retryAt:  answer.RetryAt,
	}
	if p.status < http.StatusBadRequest || p.status > maxStatus {
		p.status = defaultStatus(answer.Outcome)
	}
	return p
}

// defaultStatus returns the HTTP status of an outcome for which the core chose
// none.
func defaultStatus(outcome task.Outcome) int {
	switch outcome {
	case task.NotRun:
		return http.StatusServiceUnavailable
	case task.Failed:
		return http.StatusBadGateway
	}
	return http.StatusGatewayTimeout
}

// unusableAnswer is the problem of a submission that ran but whose answer can't
// be sent.
func unusableAnswer(detail string) *problem {
	return &problem{
		status:   http.StatusBadGateway,
		typeName: "unusable-answer",
		detail:   detail,
		outcome:  task.Failed,
		remedy:   "check the effects at the target before you repeat it",
	}
}

// answerTooLarge is the problem of an answer that exceeds the limit.
func (c *Receiver) answerTooLarge(size int) *problem {
	p := unusableAnswer(fmt.Sprintf("the answer has %d bytes, more than %d", size, c.options.Limits.AnswerBytes))
	p.typeName = "answer-too-large"
	p.remedy = "split the job, or ask the operators to raise answer-bytes"
	return p
}

// writeResponse forwards the response of a minion. It sets Content-Length
// before the body, so that a truncated answer is detected.
func writeResponse(w http.ResponseWriter, r *http.Request, response task.Response) {
	for name, values := range endToEndHeader(response.Header) {
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
		_, _ = w.Write(response.Body) // The caller may have disconnected.
	}
}

// encodeJobAnswer encodes the answer to a job. The encoding is deterministic:
// equal responses give equal bytes.
func encodeJobAnswer(job task.JobID, responses []task.Response) ([]byte, error) {
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

// responseToWire converts a response to its JSON form.
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
