/// \file
/// Persists a state in a file. Each write replaces the file atomically: a separate thread writes the state to
/// a temporary file in the same directory, flushes it and renames it. Of the states saved during a write,
/// only the newest is written next.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <system_error>

namespace marblewood::net::link {

/// The state file exists but cannot be read.
class StateFileUnreadable : public std::runtime_error {
public:
    explicit StateFileUnreadable(const std::string &path) : std::runtime_error("cannot read " + path) {}
};

/// A failed system call during the write of a state.
struct StateWriteError {
    const char *operation; ///< Description of the system call.
    std::error_code cause;
    std::string message() const { return std::string(operation) + ": " + cause.message(); }
};

/// Runs on the thread of `io`, which must outlive it; not thread-safe.
class StateFile {
public:
    /// \param path if empty, nothing is stored and every state counts as durable at once.
    StateFile(boost::asio::io_context &io, std::string path) : io_(io), path_(std::move(path)) {}
    ~StateFile() { pool_.join(); }

    /// Returns the file's content, or nothing if there is no file.
    /// \throws StateFileUnreadable
    std::optional<std::string> load() const;

    /// Starts to write a state and returns its number. Numbers are ascending.
    std::uint64_t save(std::string state);
    /// Number of the newest state that is durable.
    std::uint64_t durable_state() const { return durable_; }

    /// Called on the thread of `io` when durable_state() has increased.
    std::function<void()> on_durable;
    /// Called on the thread of `io` when a write has failed. The write is retried.
    std::function<void(const StateWriteError &)> on_write_error;

private:
    void write_next();
    void on_written(std::uint64_t number, std::string state, const std::optional<StateWriteError> &error);

    boost::asio::io_context &io_;
    std::string path_;
    std::optional<std::string> pending_;
    std::uint64_t newest_ = 0;
    std::uint64_t durable_ = 0;
    bool writing_ = false;
    boost::asio::thread_pool pool_{1};
};

} // namespace marblewood::net::link
