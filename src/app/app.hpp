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

/// An address of a configuration file. Throws config::Error naming the field.
template <typename Endpoint> Endpoint address(const std::string &text, const char *field) {
    if (const auto found = net::endpoint<Endpoint>(text))
        return *found;
    throw config::Error(fmt::format("field '{}': '{}' is not an address and port", field, text));
}

/// The `distribution` part of the operator's file: where this broker is and which distributors it may ask.
/// Throws config::Error naming the field.
config::Distribution read_distributors(const Json::Value &part);

/// Parses the command line (README) and runs the sub-command; returns the process's exit code.
int command(int argc, char **argv);

/// Sub-command `serve`: runs a broker; exits the process when it has shut down. Throws config::Error for
/// wrong settings. `hangup`, which blocks SIGHUP, is unblocked once that signal is handled; so in
/// run_cell_coordinator() and distribute().
[[noreturn]] void serve(const std::string &path, config::Config config,
                        const config::Operator &operator_config, core::BlockedSignal &hangup);

/// Sub-command `keeper`: runs the cell coordinator; returns the exit code. Throws config::Error.
int run_cell_coordinator(const std::string &operators, core::BlockedSignal &hangup);

/// Sub-command `distribute`: runs a distributor; returns the exit code. Throws config::Error.
int distribute(const std::string &path, core::BlockedSignal &hangup);

/// Sub-command `cells`: one call to the admin address of a coordinator or broker; prints the answer. Returns
/// 0: done, 1: rejected, 2: no answer.
int call_cells(const std::string &control, const std::string &call, const std::vector<std::string> &words);

} // namespace marblewood::app
