/// @file
/// Probes under way, and whether this member is itself in a condition to judge others by them.
///
/// Direct and indirect probes as in SWIM (Das, Gupta and Motivala, DSN 2002); the local health multiplier as
/// in Lifeguard (Dadgar, Phillips and Currey, DSN-W 2018, section IV.A), except that the probe interval is
/// never stretched: a member that sends nothing would be taken for dead.
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

/// What a probe is to find out.
enum class ProbePurpose : std::uint8_t {
  failureDetection,
  nameChallenge,  ///< whether another process lives under our name
  tombstone       ///< whether a member that was declared dead is back, as after a network partition
};

/// A probe that waits for its acknowledgement.
struct Probe {
  MemberRecord target;                                    ///< whom it probes
  ProbePurpose purpose = ProbePurpose::failureDetection;  ///< what it is to find out
  Duration started{};                                     ///< the moment at which it was sent
  Duration askHelpersAt{};                                ///< the moment from which on helpers are asked
  Duration deadline{};                                    ///< the moment at which it has failed
  std::size_t helpersAsked = 0;                           ///< members that were asked for an indirect probe
  std::size_t nacks = 0;  ///< helpers that answered that they got no acknowledgement

  /// Whether helpers are still to be asked; a tombstone is probed without any.
  [[nodiscard]] bool mayAskHelpers() const { return helpersAsked == 0 && purpose != ProbePurpose::tombstone; }
};

/// A probe on behalf of another member (SWIM's ping-req).
struct IndirectProbe {
  MemberName requester;    ///< the member that asked for it
  Nonce requesterNonce{};  ///< the nonce of the requester's own probe
  Duration deadline{};     ///< the moment at which a nack is due
};

/// Holds 128 probes and 128 indirect probes at most; each ends with its answer or its deadline.
class FailureDetector {
 public:
  /// Keeps a reference to the settings.
  explicit FailureDetector(const ProtocolSettings& settings) : settings_(settings) {}

  /// Draws the moment of the first probe, so that members do not probe in step.
  void open(Duration now, RandomSource& random);

  // Own condition
  /// Takes `now` for the moment at which the latest message came, by which isIsolated() judges.
  void onMessageReceived(Duration now) { lastReceived_ = now; }
  /// Whether nothing was received for so long that this member may be cut off.
  /// @param now the present moment
  /// @param admittedMembers with this one; a member that is alone is not isolated
  [[nodiscard]] bool isIsolated(Duration now, std::size_t admittedMembers) const;
  /// For how long this process did not run, where that is over half a probe interval (and 100 ms).
  [[nodiscard]] std::optional<Duration> detectPause(Duration now) const;
  /// Lets what ran out during a pause run on, and starts the grace period in which nobody is judged.
  void onPause(Duration now, Duration pause);
  /// Whether a pause ended a moment ago, so that nobody is judged.
  [[nodiscard]] bool isInGracePeriod(Duration now) const { return now < gracePeriodEnd_; }
  /// 0 (well) to 8: by how much slower this member judges.
  [[nodiscard]] int localHealthMultiplier() const { return localHealthMultiplier_; }
  /// Positive where this member's health got worse.
  void adjustLocalHealth(int by);

  // Probes
  /// Whether the next probe is to be sent.
  [[nodiscard]] bool isProbeDue(Duration now) const { return now >= nextProbeAt_; }
  /// The next probe is due one probe interval from now.
  void scheduleNextProbe(Duration now) { nextProbeAt_ = now + settings_.probeInterval; }
  /// The nonce to send; nothing where too many probes are under way.
  [[nodiscard]] std::optional<Nonce> beginProbe(Duration now, const MemberRecord& target,
                                                ProbePurpose purpose, RandomSource& random);
  /// Null where no such probe is under way.
  [[nodiscard]] Probe* findProbe(Nonce nonce);
  /// Forgets a probe, such as one that was answered.
  void endProbe(Nonce nonce) { probes_.erase(nonce); }
  /// Removes and returns the probes that got no answer in time.
  std::vector<Probe> takeExpiredProbes(Duration now);
  /// The probes whose target has not answered directly, so that helpers are to be asked.
  [[nodiscard]] std::vector<Nonce> probesToAskHelpersFor(Duration now) const;

  // Probes on behalf of others
  /// The nonce to send; nothing where too many are under way.
  [[nodiscard]] std::optional<Nonce> beginIndirectProbe(Duration now, const MemberName& requester,
                                                        Nonce requesterNonce, RandomSource& random);
  /// Whether fewer than 128 indirect probes are under way.
  [[nodiscard]] bool hasRoomForIndirectProbe() const;
  /// Removes and returns the one that this nonce acknowledges.
  std::optional<IndirectProbe> takeIndirectProbe(Nonce nonce);
  /// Removes and returns the indirect probes that got no answer in time.
  std::vector<IndirectProbe> takeExpiredIndirectProbes(Duration now);

  // Timer
  /// Finds the next deadline: a quarter of a probe interval from now, or what is due before.
  /// @param now the present moment
  /// @param isProbing whether this member sends probes, so that the next one counts
  void updateNextDeadline(Duration now, bool isProbing);
  /// The moment at which the timer is to run next.
  [[nodiscard]] Duration nextDeadline() const { return nextDeadline_; }

 private:
  [[nodiscard]] Duration byLocalHealth(Duration span) const { return span * (1 + localHealthMultiplier_); }

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
