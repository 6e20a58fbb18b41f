package questionnaire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
)

// ErrInputEnded means that the input ended before all questions were answered.
var ErrInputEnded = errors.New("the input ended before all questions were answered")

// Ask puts the questions on out and reads the answers from in, one a line. An
// empty line takes the proposed answer; an answer that cannot be read is asked
// for again. The caller checks the answers with Check.
func Ask(in io.Reader, out io.Writer) (Answers, error) {
	c := &conversation{in: bufio.NewScanner(in), out: out}
	var a Answers
	c.say("About the region")
	a.Region = model.RegionName(c.text("Name of the region", ""))
	for _, zone := range c.list("Its availability zones, separated by commas", "") {
		a.Zones = append(a.Zones, model.AvailabilityZoneName(zone))
	}
	a.Fleet.Workers = c.number("How many workers does it have", 11)
	a.Fleet.WorkersPerRack = c.number("How many of them share a rack", 3)
	a.Fleet.Worker.Accelerators = c.number("Accelerators of each worker", 8)
	a.Fleet.Worker.Cores = c.number("Processor cores of each worker", 64)
	a.Fleet.Worker.MemoryMB = c.number("Memory of each worker in MB", 131072)
	a.SurviveZoneLoss = c.yesNo("Must all guarantees hold while any one zone is out", true)
	ranking := c.list("Rank the figures, most important first", "completion_time, work_in_zone_change, fragmentation")
	for _, figure := range ranking {
		a.Ranking = append(a.Ranking, Figure(figure))
	}
	for more := true; more && c.err == nil; more = c.yesNo("Is there another client account", false) {
		a.Accounts = append(a.Accounts, c.account())
	}
	return a, c.err
}

func (c *conversation) account() Account {
	c.say("About a client account")
	account := Account{
		ID:              model.ClientAccountID(c.text("Name of the client account", "")),
		Share:           c.number("Its share of idle capacity, relative to the others", 1),
		WaitingRequests: c.number("How many of its requests may wait on each entry host", 100),
	}
	for c.yesNo("Does it have a kind of job to describe", len(account.Work) == 0) && c.err == nil {
		account.Work = append(account.Work, c.work())
	}
	return account
}

func (c *conversation) work() Work {
	return Work{
		Name:             c.text("Name of this kind of job", ""),
		Tasks:            c.number("How many tasks must run together", 1),
		Accelerators:     c.number("Accelerators of each task", 1),
		Cores:            c.number("Processor cores of each task", 8),
		MemoryMB:         c.number("Memory of each task in MB", 16384),
		Adjacent:         model.Topology(c.text("Where must the tasks lie together (rack, zone, any)", "any")),
		GuaranteedAtOnce: c.number("How many such jobs must always be able to run at once", 1),
		MayBorrow:        c.yesNo("May it also use idle capacity that can be reclaimed", true),
		Urgent:           c.yesNo("Must it start within 1.3 s", false),
		RunTime:          c.duration("Longest usual run time, such as 40m", ""),
		NeededWithin:     c.duration("Time from submission to deadline, 0s for none", "0s"),
	}
}

// conversation reads answers until the input ends or fails.
type conversation struct {
	in  *bufio.Scanner
	out io.Writer
	err error
}

func (c *conversation) say(text string) { _, _ = fmt.Fprintf(c.out, "\n%s\n", text) }

// text asks one question and returns the answer, or the proposed one.
func (c *conversation) text(question, proposed string) string {
	for c.err == nil {
		if proposed == "" {
			_, _ = fmt.Fprintf(c.out, "%s: ", question)
		} else {
			_, _ = fmt.Fprintf(c.out, "%s [%s]: ", question, proposed)
		}
		if !c.in.Scan() {
			c.err = errors.CombineErrors(ErrInputEnded, c.in.Err())
			return ""
		}
		if answer := strings.TrimSpace(c.in.Text()); answer != "" {
			return answer
		}
		if proposed != "" {
			return proposed
		}
	}
	return ""
}

func (c *conversation) list(question, proposed string) []string {
	var items []string
	for _, item := range strings.Split(c.text(question, proposed), ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// parsed asks until the answer can be read.
func parsed[T any](c *conversation, question, proposed, form string, parse func(string) (T, error)) T {
	for c.err == nil {
		answer := c.text(question, proposed)
		if c.err != nil {
			break
		}
		value, err := parse(answer)
		if err == nil {
			return value
		}
		_, _ = fmt.Fprintf(c.out, "%q is not %s.\n", answer, form)
	}
	var none T
	return none
}

func (c *conversation) number(question string, proposed int) int {
	return parsed(c, question, strconv.Itoa(proposed), "a whole number", strconv.Atoi)
}

func (c *conversation) duration(question, proposed string) time.Duration {
	return parsed(c, question, proposed, "a duration such as 40m or 1h30m", time.ParseDuration)
}

func (c *conversation) yesNo(question string, proposed bool) bool {
	word := "no"
	if proposed {
		word = "yes"
	}
	return parsed(c, question+" (yes, no)", word, "yes or no", func(answer string) (bool, error) {
		switch strings.ToLower(answer) {
		case "yes", "y":
			return true, nil
		case "no", "n":
			return false, nil
		default:
			return false, errors.New("neither yes nor no")
		}
	})
}
