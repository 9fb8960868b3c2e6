package ibisadmin

import (
	"fmt"
	"strings"

	"ibiscrank/ibisburn"
	"ibiscrank/ibiswork"
)

// resourcesText is r in the units that people use.
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

// budgetText is the part of an error budget that is left, below zero when it is overspent.
func budgetText(left float64) string {
	if left <= 0 {
		return fmt.Sprintf("the error budget is used up (%.0f%% of it)", 100*(1-left))
	}
	return fmt.Sprintf("%.0f%% of the error budget left", 100*left)
}

// burnLook is how a line of the report on service-level burn is shown.
type burnLook struct{ Style, Text string }

// burnLookOf marks an objective whose budget is used up, also when no alert fires any more.
func burnLookOf(l ibisburn.Line) burnLook {
	switch {
	case l.State == ibisburn.NoData:
		return burnLook{Text: "no data"}
	case l.State == ibisburn.OK && l.BudgetLeft <= 0:
		return burnLook{Style: "info", Text: "used up"}
	}
	return burnLook{Style: strings.ToLower(string(l.State)), Text: string(l.State)}
}

// firstSubjects is a short list of what an alert concerns.
func firstSubjects(subjects []string) string {
	const most = 8
	if n := len(subjects) - most; n > 0 {
		return fmt.Sprintf("%s and %d more", strings.Join(subjects[:most], ", "), n)
	}
	return strings.Join(subjects, ", ")
}
