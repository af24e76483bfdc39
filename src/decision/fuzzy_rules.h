/// @file
/// The fuzzy rules that move the concurrency limit towards the lowest latency.
///
/// Source: Y. Diao, J. L. Hellerstein, S. Parekh, "Optimizing Quality of Service Using Fuzzy Control",
/// DSOM 2002, section 3, table 1 and figure 3a.
#pragma once

namespace rainhook {

/// Returns the next step of the limit: a step after which the latency fell is repeated, a step after which
/// the latency rose is reversed.
///
/// @param lastStep the previous step that the rules returned, normalized to -1 .. 1 and clamped to that range
/// @param latencyChange the change of the mean latency after that step, normalized and clamped likewise
/// @return the normalized step, -1 to 1
[[nodiscard]] double fuzzyStep(double lastStep, double latencyChange);

}  // namespace rainhook
