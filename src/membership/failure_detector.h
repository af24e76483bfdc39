/// @file
/// The pending probes, and whether the condition of this member allows conclusions from them.
///
/// Direct and indirect probes as in SWIM (Das, Gupta and Motivala, DSN 2002); the local health multiplier as
/// in Lifeguard (Dadgar, Phillips and Currey, DSN-W 2018, section IV.A), except that the probe interval is
/// never extended: the others would declare a member dead that sends nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "membership/membership_settings.h"
#include "membership/random_source.h"
#include "membership/types.h"

namespace rainhook::membership {

/// The question that a probe answers.
enum class ProbePurpose : std::uint8_t {
  failureDetection,
  nameChallenge,  ///< whether another process is running under this member's name
  tombstone       ///< whether a member that was declared dead has returned, as after a network partition
};

/// A probe without an acknowledgement so far.
struct Probe {
  MemberRecord target;                                    ///< the probed member
  ProbePurpose purpose = ProbePurpose::failureDetection;  ///< the question that the probe answers
  Duration started{};                                     ///< when the probe was sent
  Duration askHelpersAt{};                                ///< when helpers are asked
  Duration deadline{};                                    ///< when the probe fails
  std::size_t helpersAsked = 0;                           ///< number of members asked for an indirect probe
  std::size_t nacks = 0;  ///< number of helpers that reported no acknowledgement

  /// Returns whether helpers are still to be asked; a tombstone is probed without helpers.
  [[nodiscard]] bool mayAskHelpers() const { return helpersAsked == 0 && purpose != ProbePurpose::tombstone; }
};

/// A probe on behalf of another member (SWIM's ping-req).
struct IndirectProbe {
  MemberName requester;    ///< the member that asked for the probe
  Nonce requesterNonce{};  ///< the nonce of the requester's own probe
  Duration deadline{};     ///< when a nack is due
};

/// Holds at most 128 probes and 128 indirect probes; each ends with its answer or at its deadline.
class FailureDetector {
 public:
  /// Keeps a reference to the settings.
  explicit FailureDetector(const ProtocolSettings& settings) : settings_(settings) {}

  /// Draws a random time for the first probe, so that members do not probe simultaneously.
  void open(Duration now, RandomSource& random);

  // Condition of this member
  /// Records `now` as the time of the latest message, which isIsolated() uses.
  void onMessageReceived(Duration now) { lastReceived_ = now; }
  /// Returns whether this member received no message for so long that it may be disconnected.
  /// @param now the current time
  /// @param admittedMembers number of members including this one; a member that is alone is not isolated
  [[nodiscard]] bool isIsolated(Duration now, std::size_t admittedMembers) const;
  /// Returns how long this process did not run, if that is at least half a probe interval and at least 100
  /// ms.
  [[nodiscard]] std::optional<Duration> detectPause(Duration now) const;
  /// Extends the deadlines by the duration of a pause, and starts the grace period without suspicions.
  void onPause(Duration now, Duration pause);
  /// Returns whether a pause ended so recently that this member raises no suspicions.
  [[nodiscard]] bool isInGracePeriod(Duration now) const { return now < gracePeriodEnd_; }
  /// Returns Lifeguard's multiplier, 0 (healthy) to 8: the higher it is, the longer probes wait for an
  /// answer.
  [[nodiscard]] int localHealthMultiplier() const { return localHealthMultiplier_; }
  /// Changes the local health multiplier; a positive value means that this member's health got worse.
  void adjustLocalHealth(int by);

  // Probes
  /// Returns whether the next probe is due.
  [[nodiscard]] bool isProbeDue(Duration now) const { return now >= nextProbeAt_; }
  /// Schedules the next probe one probe interval from now.
  void scheduleNextProbe(Duration now) { nextProbeAt_ = now + settings_.probeInterval; }
  /// Starts a probe and returns the nonce to send; nothing if too many probes are pending.
  [[nodiscard]] std::optional<Nonce> beginProbe(Duration now, const MemberRecord& target,
                                                ProbePurpose purpose, RandomSource& random);
  /// Returns null if no probe with this nonce is pending.
  [[nodiscard]] Probe* findProbe(Nonce nonce);
  /// Removes a probe, for example because it was answered.
  void endProbe(Nonce nonce) { probes_.erase(nonce); }
  /// Removes and returns the probes without an answer in time.
  std::vector<Probe> takeExpiredProbes(Duration now);
  /// Returns the probes whose target has not answered directly, for which helpers have to be asked now.
  [[nodiscard]] std::vector<Nonce> probesToAskHelpersFor(Duration now) const;

  // Probes on behalf of other members
  /// Starts an indirect probe and returns the nonce to send; nothing if too many are pending.
  [[nodiscard]] std::optional<Nonce> beginIndirectProbe(Duration now, const MemberName& requester,
                                                        Nonce requesterNonce, RandomSource& random);
  /// Returns whether fewer than 128 indirect probes are pending.
  [[nodiscard]] bool hasRoomForIndirectProbe() const;
  /// Removes and returns the indirect probe with this nonce; nothing if none is pending.
  std::optional<IndirectProbe> takeIndirectProbe(Nonce nonce);
  /// Removes and returns the indirect probes without an answer in time.
  std::vector<IndirectProbe> takeExpiredIndirectProbes(Duration now);

  // Timer
  /// Computes the next deadline: a quarter of a probe interval from now, or an earlier deadline of a probe.
  /// @param now the current time
  /// @param isProbing whether this member sends probes, so that the time of the next probe is considered
  void updateNextDeadline(Duration now, bool isProbing);
  /// Returns the time at which the timer has to fire next.
  [[nodiscard]] Duration nextDeadline() const { return nextDeadline_; }

 private:
  [[nodiscard]] Duration scaleByLocalHealth(Duration span) const {
    return span * (1 + localHealthMultiplier_);
  }

  const ProtocolSettings& settings_;
  std::map<Nonce, Probe> probes_;
  std::map<Nonce, IndirectProbe> indirectProbes_;
  Duration nextProbeAt_{};
  Duration nextDeadline_{};
  Duration lastReceived_{};
  Duration gracePeriodEnd_{-1};
  int localHealthMultiplier_ = 0;
};

}  // namespace rainhook::membership
