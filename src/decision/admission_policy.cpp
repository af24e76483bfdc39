#include "decision/admission_policy.h"

#include "decision/admission_controller.h"

namespace rainhook {

std::unique_ptr<AdmissionPolicy> makeAdmissionPolicy(const PolicySettings& settings) {
  return std::make_unique<AdmissionController>(settings);
}

}  // namespace rainhook
