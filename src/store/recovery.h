// What a start finds in the folder; private to the LogStructuredStore, which lives on with what this leaves.
#pragma once

#include <set>

#include "store/log_structured_store.h"

namespace rainhook::store {

class LogStructuredStore::Recovery {
 public:
  explicit Recovery(LogStructuredStore& book) : book_(book) {}
  StoreStatus run(std::uint64_t seed);

 private:
  struct Found {
    bool segment = false, hint = false;
    std::uint64_t maxSegmentBytes = 0, hintEntryBytes = 0;
  };
  struct Hint {
    struct Row {
      RecordKind kind{};
      std::string key;
      SequenceNumber sequence{};
      UnixTime expiry = neverExpires;
      HintLocation place;
    };
    std::vector<Row> rows;
    std::optional<HintLocation> end;  // where the file ends as it should and nothing of it is damaged
  };
  struct Lost {
    SegmentNumber segment;
    std::string key;
    SequenceNumber sequence;
    std::uint64_t bytes = 0;  // 0: an earlier start told of it
  };
  // What a segment that was read through could not give.
  struct Damage {
    std::uint64_t size = 0;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> stretches;  // offset and bytes
    std::uint64_t lostRecords = 0, lostBytes = 0;  // acknowledged, and nothing else has them
  };

  StoreStatus list();
  void readManifest();
  void chooseId(std::uint64_t seed);
  void sortOut();
  StoreStatus recover(SegmentNumber number, const Found& found);
  Hint readHint(SegmentNumber number);
  bool takeHint(SegmentNumber number, const Hint& hint, std::uint64_t bytes);
  void scan(SegmentNumber number, std::shared_ptr<File> file, const Hint& hint);
  void writeHint(SegmentNumber number, const std::vector<Hint::Row>& rows, std::uint64_t end);
  void see(const Hint::Row& row, SegmentNumber number);
  void suppressLost();
  void report() const;
  void sweep();
  void setAside(const std::string& name, const char* why);
  void doubt(const Manifest::Listed& gone);
  const Manifest::Listed* listed(SegmentNumber number) const;

  LogStructuredStore& book_;
  std::set<std::string> names_;
  std::map<SegmentNumber, Found> found_;
  std::optional<Manifest> manifest_;
  std::vector<Lost> lost_;
  std::map<SegmentNumber, Damage> damage_;
  SequenceNumber highest_{};
  bool doubt_ = false;
  SequenceNumber doubtBelow_{};
};

}  // namespace rainhook::store
