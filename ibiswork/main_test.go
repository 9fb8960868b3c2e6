package ibiswork

import (
	"testing"

	"ibiscrank/ibisseed"
)

func TestMain(m *testing.M) { ibisseed.Main(m) }
