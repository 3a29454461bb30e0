package schema

import (
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"
)

// requestLines, beliefLines and orderLines hold one value of the type of each line: those about requests, those about what the
// instance knows of the fleet and of itself (its beliefs), and those about orders to servers. Several lines may have the same
// message; these differ in their fields.
var (
	requestLines = []any{
		sentStream{},
		pathClosed{},
		sentPlain{},
		refusedByServer{},
		streamBroken{},
		plainBroken{},
		terminatedUnderRequest{},
		requestCleared{},
		noRetry{},
		handedOver{},
		firstServerSilent{},
		waitsToResume{},
		repaired{},
		notRepaired{},
		noPathForRepair{},
		evacuated{},
		notEvacuated{},
		roomTooLate{},
		waitedForRoom{},
		pathRegained{},
		refused{},
		denied{},
		givenUp{},
		brokenOff{},
		failurePassedOn{},
		callerDisconnected{},
		finished{},
		stageFailed{},
		refusedJxdRun{},
		brokenOffJxdRun{},
		cutByCaller{},
		finishedJxdRun{},
		unexpectedInAttempt{},
		sentThroughOther{},
		tunnelCarried{},
		tunnelNotCarried{},
		streamPathLost{},
		bytesCompleteNothing{},
	}
	beliefLines = []any{
		started{},
		serving{},
		stopping{},
		stopped{},
		unexpectedEvent{},
		settingsReloaded{},
		settingsNotReloaded{},
		readiness{},
		metricsNotWritten{},
		loadNotWritten{},
		machineSuspended{},
		instanceOverloaded{},
		instanceHasRoom{},
		clockNotRead{},
		dependencyLost{},
		dependencyRegained{},
		feedSourceChanged{},
		relayValueNotUsed{},
		feedRequestFailed{},
		inForce{},
		inForceJxdRun{},
		olderConfigIgnored{},
		valueNotReadable{},
		serverKnown{},
		serversKnown{},
		serverChanged{},
		serverGone{},
		endReceived{},
		endNotUsed{},
		endsNotPublished{},
		entryVanished{},
		noAnswer{},
		answersAgain{},
		noServerInReach{},
		serversInReach{},
		pathLost{},
		pathsRegained{},
		reportNotReadable{},
		otherIncarnationAnswers{},
		lateEntry{},
		earlierPosition{},
		lostWrites{},
		restoredEntry{},
		leaveNotice{},
		serverBackOff{},
		findingApplied{},
		findingTakenBack{},
		reportNotUsed{},
		serverLimit{},
		serverLimitRemoved{},
		newerIncarnation{},
		entryUnusable{},
		serversMisfit{},
		otherLayers{},
		serverFull{},
		serverSlow{},
		serverNormal{},
		lanes{},
		domainLoadKnown{},
		domainLoadUnknown{},
		admissionInForce{},
		partNotInForce{},
		admissionTotals{},
		admissionLevels{},
		retries{},
		instancesCounted{},
		recordValueNotUsed{},
		instancesNotCounted{},
		recordNotWritten{},
		recordEnded{},
		recordReplaced{},
		keyNotWritten{},
		recordNotRenewed{},
		peerRefused{},
		operatorRefused{},
		planConfirmed{},
		partPanicked{},
	}
	orderLines = []any{
		leadershipGained{},
		leadershipLost{},
		leadershipNotAcquired{},
		leadershipNotRenewed{},
		leadershipNotReleased{},
		orderGiven{},
		orderGivenJxdRun{},
		orderFailed{},
		orderUnanswered{},
		orderRefused{},
		orderHeldBack{},
		orderWithoutEffect{},
		coverage{},
		layoutPlanned{},
		domainTooSmall{},
	}
)

// Kind is the type of the values of a field.
type Kind string

// The kinds of values; a time is a text in the format of RFC 3339.
const (
	KindText    Kind = "text"
	KindInteger Kind = "integer"
	KindNumber  Kind = "number"
	KindBoolean Kind = "boolean"
	KindTime    Kind = "time"
)

// Field describes one field of a line.
type Field struct {
	Name     string
	Kind     Kind
	Optional bool
	// typeName and goName are the struct type and the struct field that declare it; its description is the comment there.
	typeName string
	goName   string
}

// Line describes one kind of line in the log.
type Line struct {
	Message string
	Level   string
	// Fields are the fields in addition to those that every line has.
	Fields   []Field
	typeName string
}

// Field returns the field of that name.
func (l Line) Field(name string) (Field, bool) {
	for _, f := range l.Fields {
		if f.Name == name {
			return f, true
		}
	}
	return Field{}, false
}

// linesByMessage returns all lines, by message.
var linesByMessage = sync.OnceValue(func() map[string][]Line {
	out := map[string][]Line{}
	for _, l := range Lines() {
		out[l.Message] = append(out[l.Message], l)
	}
	return out
})

// Lines returns the descriptions of all lines.
func Lines() []Line {
	return linesOf(slices.Concat(requestLines, beliefLines, orderLines))
}

// LinesByMessage returns the lines with the given message.
func LinesByMessage(message string) []Line { return linesByMessage()[message] }

func linesOf(values []any) []Line {
	out := make([]Line, len(values))
	for i, v := range values {
		t := reflect.TypeOf(v)
		tag := t.Field(0).Tag
		out[i] = Line{Message: tag.Get("msg"), Level: tag.Get("level"), Fields: fieldsOf(t), typeName: t.Name()}
	}
	return out
}

// fieldsOf returns the log fields of a struct type and of the structs embedded in it.
func fieldsOf(t reflect.Type) []Field {
	var out []Field
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			out = append(out, fieldsOf(f.Type)...)
			continue
		}
		if name, rest, _ := strings.Cut(f.Tag.Get("log"), ","); name != "" {
			out = append(out, Field{Name: name, Kind: kindOf(f.Type), Optional: rest == "optional", typeName: t.Name(), goName: f.Name})
		}
	}
	return out
}

func kindOf(t reflect.Type) Kind {
	if t == reflect.TypeFor[time.Time]() {
		return KindTime
	}
	switch t.Kind() {
	case reflect.Int64:
		return KindInteger
	case reflect.Float64:
		return KindNumber
	case reflect.Bool:
		return KindBoolean
	default:
		return KindText
	}
}
