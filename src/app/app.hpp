// The program's commands, each of which wires the parts that it needs.
#pragma once

#include "config/config.hpp"
#include "config/distribution.hpp"
#include "core/held_signal.hpp"
#include "net/address.hpp"

#include <fmt/format.h>

namespace marblewood::app {

// An address of the settings; throws config::Error naming the field.
template <typename Endpoint> Endpoint address(const std::string &text, const char *field) {
    if (const auto found = net::endpoint<Endpoint>(text))
        return *found;
    throw config::Error(fmt::format("field '{}': '{}' is not an address and port", field, text));
}

// Where this broker is and which distributors it may ask; throws config::Error naming the field.
config::Distribution read_distributors(const Json::Value &part);

// The command line, as `marblewood` takes it (README); the process's exit code.
int command(int argc, char **argv);

// Each returns the process's exit code; what is wrong with the settings is thrown as config::Error. SIGHUP is
// held until they have set up what it asks for.
int serve(const std::string &path, config::Config config, const config::Operator &added,
          core::HeldSignal &hangup);
int run_cell_coordinator(const std::string &operators, core::HeldSignal &hangup);
int distribute(const std::string &path, core::HeldSignal &hangup);
// One call to the operators' address of a cell coordinator or broker. 0: done, 1: refused, 2: no reply.
int call_cells(const std::string &control, const std::string &call, const std::vector<std::string> &words);

} // namespace marblewood::app
