/// @file
/// The complete public interface of the decision module, for hosts to include.
#pragma once

#include "decision/actions.h"           // IWYU pragma: export
#include "decision/admission_policy.h"  // IWYU pragma: export
#include "decision/events.h"            // IWYU pragma: export
#include "decision/ids.h"               // IWYU pragma: export
#include "decision/settings.h"          // IWYU pragma: export
