// A state that must outlive the process, in one file: written beside it, flushed, and renamed over it, by a
// thread of its own. A newer state that comes while one is being written replaces those that wait.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <optional>
#include <string>

namespace marblewood::net::link {

class StateFile {
public:
    // An empty path: nothing is kept, and every state counts as written.
    StateFile(boost::asio::io_context &io, std::string path) : io_(io), path_(std::move(path)) {}
    ~StateFile() { pool_.join(); }

    // What the file holds; nothing where there is none. Throws std::runtime_error where it can't be read.
    std::optional<std::string> load() const;

    // Numbers the states in the order of their writing. `written` is called on the loop with the number of
    // the last one that is on disk.
    std::uint64_t save(std::string state);
    std::uint64_t on_disk() const { return done_; }
    std::function<void()> written;
    std::function<void(const std::string &)> failed; // the disk did not take it; it is tried again

private:
    void next();

    boost::asio::io_context &io_;
    std::string path_;
    std::optional<std::string> waiting_;
    std::uint64_t last_ = 0, done_ = 0;
    bool busy_ = false;
    boost::asio::thread_pool pool_{1};
};

} // namespace marblewood::net::link
