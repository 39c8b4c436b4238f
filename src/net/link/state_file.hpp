/// \file
/// A state that must outlive the process, in one file. It is replaced atomically: written to a temporary file
/// beside it, flushed, and renamed over it, by a thread of its own. While one state is being written only the
/// newest of those that follow is kept.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <system_error>

namespace marblewood::net::link {

/// The state file exists and cannot be read.
class StateFileUnreadable : public std::runtime_error {
public:
    explicit StateFileUnreadable(const std::string &path) : std::runtime_error("cannot read " + path) {}
};

/// A system call that failed while a state was written.
struct StateWriteError {
    const char *operation; ///< The call, in words.
    std::error_code cause;
    std::string message() const { return std::string(operation) + ": " + cause.message(); }
};

/// Used on the loop of `io`, which must outlive it; not thread-safe.
class StateFile {
public:
    /// \param path empty: nothing is stored, and every state counts as durable at once.
    StateFile(boost::asio::io_context &io, std::string path) : io_(io), path_(std::move(path)) {}
    ~StateFile() { pool_.join(); }

    /// The file's content; nothing if there is no file.
    /// \throws StateFileUnreadable
    std::optional<std::string> load() const;

    /// Starts writing a state and returns its number; numbers ascend.
    std::uint64_t save(std::string state);
    /// Number of the newest state that is on disk.
    std::uint64_t durable_state() const { return durable_; }

    /// Called on the loop when durable_state() has grown.
    std::function<void()> on_durable;
    /// Called on the loop when a write failed; it is tried again.
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
