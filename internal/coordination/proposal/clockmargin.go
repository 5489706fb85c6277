package proposal

import "time"

// UsableSpan is the part of the span of a vote or lease that its holder relies on,
// counted from when it asked for it: a tenth is left for clocks that run at different
// rates.
func UsableSpan(span time.Duration) time.Duration { return span * 9 / 10 }
