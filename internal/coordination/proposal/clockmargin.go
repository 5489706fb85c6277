package proposal

import "time"

// UsableSpan returns how long the holder of a vote or lease may rely on it, counted from
// when the holder sent its request. It leaves a tenth of span as a margin for clocks
// that run at different rates.
func UsableSpan(span time.Duration) time.Duration { return span * 9 / 10 }
