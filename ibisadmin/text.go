package ibisadmin

import (
	"fmt"
	"strings"

	"ibiscrank/ibisburn"
	"ibiscrank/ibiswork"
)

// resourcesText formats r in cores and GiB, and in accelerators and slots if there are any.
func resourcesText(r ibiswork.Resources) string {
	s := fmt.Sprintf("%.4g cores, %.4g GiB", float64(r.MilliCPU)/1000, float64(r.MemoryMB)/1024)
	if r.Accelerators > 0 {
		s += fmt.Sprintf(", %d accelerators", r.Accelerators)
	}
	if r.Slots > 0 {
		s += fmt.Sprintf(", %d slots", r.Slots)
	}
	return s
}

// budgetText describes the remaining fraction of an error budget, which is negative if it is overspent.
func budgetText(left float64) string {
	if left <= 0 {
		return fmt.Sprintf("the error budget is used up (%.0f%% of it)", 100*(1-left))
	}
	return fmt.Sprintf("%.0f%% of the error budget left", 100*left)
}

// burnBadge is the CSS class and the label of a line of the burn report.
type burnBadge struct{ Style, Text string }

// burnBadgeOf returns the badge of a line. A used-up budget is marked even if no alert fires any more.
func burnBadgeOf(l ibisburn.Line) burnBadge {
	switch {
	case l.State == ibisburn.NoData:
		return burnBadge{Text: "no data"}
	case l.State == ibisburn.OK && l.BudgetLeft <= 0:
		return burnBadge{Style: "info", Text: "used up"}
	}
	return burnBadge{Style: strings.ToLower(string(l.State)), Text: string(l.State)}
}

// firstSubjects lists the first subjects of an alert and the number of the others.
func firstSubjects(subjects []string) string {
	const maxShown = 8
	if n := len(subjects) - maxShown; n > 0 {
		return fmt.Sprintf("%s and %d more", strings.Join(subjects[:maxShown], ", "), n)
	}
	return strings.Join(subjects, ", ")
}
