/// \file
/// The program's sub-commands.
#pragma once

#include "config/config.hpp"
#include "config/distribution.hpp"
#include "core/blocked_signal.hpp"
#include "net/address.hpp"

#include <fmt/format.h>
#include <string>
#include <vector>

namespace marblewood::app {

/// Parses an address and port given in configuration. Throws config::Error naming the field.
template <typename Endpoint> Endpoint address(const std::string &text, const char *field) {
    if (const auto found = net::endpoint<Endpoint>(text))
        return *found;
    throw config::Error(fmt::format("field '{}': '{}' is not an address and port", field, text));
}

/// Decodes the `distribution` part of the operator's file: this broker's location and the distributors that
/// it may use. Throws config::Error naming the field.
config::Distribution read_distributors(const Json::Value &part);

/// Parses the command line (see README) and runs the sub-command; returns the exit code of the process.
int command(int argc, char **argv);

/// Sub-command `serve`: runs a broker and exits the process after its shutdown. Throws config::Error for
/// invalid settings. `blocked_hangup` holds back SIGHUP; this function unblocks it once it has a handler for
/// that signal, and so do run_cell_coordinator() and distribute().
[[noreturn]] void serve(const std::string &path, config::Config config,
                        const config::Operator &operator_config, core::BlockedSignal &blocked_hangup);

/// Sub-command `keeper`: runs the cell coordinator with the layout in the operator's file and exits the
/// process at the end. Throws config::Error for an invalid file.
int run_cell_coordinator(const std::string &operator_file, core::BlockedSignal &blocked_hangup);

/// Sub-command `distribute`: runs a distributor with the configuration file at `path` and exits the process
/// at the end. Throws config::Error for an invalid file.
int distribute(const std::string &path, core::BlockedSignal &blocked_hangup);

/// Sub-command `cells`: sends one call to the admin address of a coordinator or broker and prints the answer.
/// Returns 0 if the call succeeded, 1 if it was rejected, 2 if there was no answer.
int call_cells(const std::string &admin_address, const std::string &call,
               const std::vector<std::string> &arguments);

} // namespace marblewood::app
