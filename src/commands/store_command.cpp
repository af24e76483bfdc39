/// @file
/// `rainhook store`: look into a store, check it, change it. Each sub-command locks the folder, so none works
/// beside a process that has it open.
#include <fmt/format.h>

#include <cstdio>
#include <iostream>

#include "commands/command_line.h"
#include "commands/commands.h"
#include "commands/store_dump_commands.h"
#include "commands/store_entry_commands.h"
#include "commands/store_maintenance_commands.h"
#include "commands/store_session.h"

namespace rainhook::commands {
namespace {

namespace po = boost::program_options;

constexpr const char* usage = R"(usage: rainhook store COMMAND --dir D [options]

  put KEY       keep what standard input holds; returns once it is on the disk
  put --lines   the same for each line KEY<TAB>VALUE; prints each key once it is on the disk
  get KEY       write the value to standard output; status 1 where there is none
  erase KEY     forget it; returns once that is on the disk
  list          the keys in order, or with --by-age the oldest first
  stats         what the store holds and has done, name=value a line
  verify        read everything, say what is damaged; status 3 where something is
  compact       write anew whatever holds anything dead
  snapshot      copy the store into an empty folder (--to)
  dump          all entries as JSON lines, keys and values in base64
  load          take such lines from standard input

)";

po::options_description describeOptions() {
  po::options_description out("options of store");
  out.add_options()("dir", po::value<std::string>(),
                    "the store's folder; made by put and load where it is absent")(
      "options", po::value<std::string>()->default_value(environmentVariable("RAINHOOK_OPTIONS")),
      "our own settings, for the store's bounds, and for its folder where --dir is absent")(
      "command", po::value<std::string>(), "what to do, as the first word")(
      "key", po::value<std::string>(), "the key, also as the word behind the command")(
      "for", po::value<std::uint64_t>(), "put: seconds that it is good for; for ever where absent")(
      "lines", po::bool_switch(), "put: many, a line each")("by-age", po::bool_switch(),
                                                            "list: the oldest first")(
      "long", po::bool_switch(), "list: with the end in milliseconds of Unix time, and the bytes on disk")(
      "to", po::value<std::string>(), "snapshot: the folder to make")("help", "this page");
  return out;
}

int runSubCommand(const std::string& command, const po::variables_map& options, StoreSession& session) {
  if (command == "put")
    return putEntries(session, options["lines"].as<bool>() ? PutInput::lines : PutInput::singleValue);
  if (command == "get") return getEntry(session);
  if (command == "erase") return eraseEntry(session);
  if (command == "list")
    return listEntries(session, options["by-age"].as<bool>() ? ListOrder::byAge : ListOrder::byKey,
                       options["long"].as<bool>() ? ListFormat::withExpiryAndSize : ListFormat::keysOnly);
  if (command == "stats") return printStoreStatistics(session);
  if (command == "verify") return verifyStore(session);
  if (command == "compact") return compactStore(session);
  if (command == "dump") return dumpStore(session);
  if (command == "load") return loadStore(session);
  if (command == "snapshot") {
    if (!options.count("to")) throw UsageError("store snapshot: --to is missing");
    return snapshotStore(session, options["to"].as<std::string>());
  }
  throw UsageError("unknown command 'store " + command + "'");
}

}  // namespace

int store(const Arguments& arguments) {
  const auto options = parseArguments(arguments, describeOptions(), {"command", "key"});
  const auto command = options.count("command") ? options["command"].as<std::string>() : std::string();
  if (arguments.empty() || options.count("help") || command == "help") {
    std::cout << usage << describeOptions();
    return arguments.empty() ? exitUsageError : exitSuccess;
  }
  if (command.empty()) throw UsageError("store: no command is given");
  StoreSession session(options);
  try {
    return runSubCommand(command, options, session);
  } catch (const StoreCommandError& error) {
    fmt::print(stderr, "rainhook: store: {}\n", error.what());
    return exitStoreError;
  }
}

}  // namespace rainhook::commands
