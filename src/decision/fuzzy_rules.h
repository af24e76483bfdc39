/// @file
/// The fuzzy rules by which the concurrency limit climbs towards the lowest latency.
///
/// Source: Y. Diao, J. L. Hellerstein, S. Parekh, "Optimizing Quality of Service Using Fuzzy Control",
/// DSOM 2002, section 3, table 1 and figure 3a.
#pragma once

namespace rainhook {

/// The next step of the limit: a step after which the latency fell is repeated, one after which it rose is
/// reversed.
///
/// @param lastStep the step that the rules last asked for, normalized to -1 .. 1; beyond, it counts fully
/// @param latencyChange the change of the mean latency that followed, normalized likewise
/// @return the normalized step, -1 to 1
[[nodiscard]] double fuzzyStep(double lastStep, double latencyChange);

}  // namespace rainhook
