/// @file
/// `rainhook store`: reads, verifies and changes a store. Each sub-command locks the folder and therefore
/// fails while another process has the store open.
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

  put KEY       store standard input as the value of KEY; returns once the value is durable
  put --lines   store each line KEY<TAB>VALUE of standard input; prints each key once its value is durable
  get KEY       write the value of KEY to standard output; exit status 1 if KEY has no value
  erase KEY     remove the value of KEY; returns once the erasure is durable
  list          print the keys in key order, or the oldest first with --by-age
  stats         print the size and the counters of the store as lines NAME=VALUE
  verify        read all files and list damaged ranges; exit status 3 if there are any
  compact       rewrite every segment that contains overwritten, erased or expired entries
  snapshot      copy the store to an empty folder (--to)
  dump          write all entries as JSON lines, with keys and values in base64
  load          store entries in the format of dump from standard input

)";

po::options_description describeOptions() {
  po::options_description out("options of store");
  out.add_options()("dir", po::value<std::string>(), "the folder of the store; created if it does not exist")(
      "options", po::value<std::string>()->default_value(environmentVariable("RAINHOOK_OPTIONS")),
      "the options file (YAML) with the limits of the store, and with its folder if --dir is not given")(
      "command", po::value<std::string>(), "the command; can also be given as the first argument")(
      "key", po::value<std::string>(), "the key; can also be given as the argument after the command")(
      "for", po::value<std::uint64_t>(), "put: the lifetime of the value in seconds; unlimited by default")(
      "lines", po::bool_switch(), "put: read one entry from each line of standard input")(
      "by-age", po::bool_switch(), "list: print the oldest keys first")(
      "long", po::bool_switch(),
      "list: also print the expiry in milliseconds of Unix time and the size on disk in bytes")(
      "to", po::value<std::string>(), "snapshot: the destination folder, which must be empty or not exist")(
      "help", "print this help");
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
    if (!options.count("to")) throw UsageError("store snapshot: the option --to FOLDER is missing");
    return snapshotStore(session, options["to"].as<std::string>());
  }
  throw UsageError("store: unknown command '" + command + "'");
}

}  // namespace

int store(const Arguments& arguments) {
  const auto options = parseArguments(arguments, describeOptions(), {"command", "key"});
  const auto command = options.count("command") ? options["command"].as<std::string>() : std::string();
  if (arguments.empty() || options.count("help") || command == "help") {
    std::cout << usage << describeOptions();
    return arguments.empty() ? exitUsageError : exitSuccess;
  }
  if (command.empty()) throw UsageError("store: the command is missing, for example 'rainhook store list'");
  StoreSession session(options);
  try {
    return runSubCommand(command, options, session);
  } catch (const StoreCommandError& error) {
    fmt::print(stderr, "rainhook: store: {}\n", error.what());
    return exitStoreError;
  }
}

}  // namespace rainhook::commands
