/// \file
/// Shuts the process down at SIGTERM or SIGINT, after its clients have received their answers.
#pragma once

#include "app/client_servers.hpp"
#include "app/process_handover.hpp"
#include "app/shutdown_schedule.hpp"
#include "net/endpoint_registry.hpp"

#include <boost/asio/signal_set.hpp>

namespace marblewood::app {

/// Executes a ShutdownSchedule at the first signal; further signals are only logged. Used only on the event
/// loop's thread; the references must outlive this object.
class GracefulShutdown {
public:
    struct Parts {
        boost::asio::io_context &io; ///< stopped at the end
        core::Deadlines &deadlines;
        const Settings &settings;
        net::EndpointRegistry::Dispatchers &dispatchers;
        ClientServers &clients;
        ProcessHandover &process_handover;
    };

    GracefulShutdown(boost::asio::signal_set &signals, Parts parts) : signals_(signals), parts_(parts) {}
    void await_signal();

private:
    void begin(int signal_number);
    void log_further_signals();
    void stop_once_handed_over();

    boost::asio::signal_set &signals_;
    Parts parts_;
    core::Deadlines::Entry recheck_;
};

} // namespace marblewood::app
