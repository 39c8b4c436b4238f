#include "net/link/state_file.hpp"

#include "net/descriptor.hpp"

#include <boost/asio/post.hpp>
#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/stat.h>
#include <thread>

namespace marblewood::net::link {
namespace {

constexpr std::chrono::milliseconds kWriteRetryDelay{200}; // after a failed write
constexpr mode_t kFileMode = 0600;

StateWriteError last_error(const char *operation) {
    return {operation, std::error_code(errno, std::generic_category())};
}

std::optional<StateWriteError> write_and_flush(const std::string &path, const std::string &bytes) {
    const Descriptor file(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode));
    if (file.get() < 0)
        return last_error("open");
    for (std::size_t written = 0; written < bytes.size();) {
        const auto count = ::write(file.get(), bytes.data() + written, bytes.size() - written);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return last_error("write");
        written += static_cast<std::size_t>(count);
    }
    if (::fsync(file.get()) != 0)
        return last_error("fsync");
    return std::nullopt;
}

/// Flushes the directory that contains `path`, so that the rename is durable.
std::optional<StateWriteError> flush_directory_of(const std::string &path) {
    const std::string directory = std::filesystem::path(path).parent_path();
    const Descriptor descriptor(
        ::open(directory.empty() ? "." : directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (descriptor.get() < 0 || ::fsync(descriptor.get()) != 0)
        return last_error("fsync of the directory");
    return std::nullopt;
}

std::optional<StateWriteError> replace_file(const std::string &path, const std::string &bytes) {
    const std::string temporary = path + ".new";
    if (auto error = write_and_flush(temporary, bytes))
        return error;
    if (::rename(temporary.c_str(), path.c_str()) != 0)
        return last_error("rename");
    return flush_directory_of(path);
}

} // namespace

std::optional<std::string> StateFile::load() const {
    struct stat status {};
    if (path_.empty() || ::stat(path_.c_str(), &status) != 0)
        return std::nullopt;
    std::ifstream file(path_, std::ios::binary);
    std::ostringstream bytes;
    if (!file || !(bytes << file.rdbuf()))
        throw StateFileUnreadable(path_);
    return bytes.str();
}

std::uint64_t StateFile::save(std::string state) {
    ++newest_;
    if (path_.empty())
        durable_ = newest_;
    else
        pending_ = std::move(state);
    if (!writing_)
        write_next();
    return newest_;
}

void StateFile::write_next() {
    if (!pending_)
        return;
    writing_ = true;
    std::string state = std::move(*pending_);
    pending_.reset();
    boost::asio::post(pool_, [this, number = newest_, state = std::move(state)]() mutable {
        auto error = replace_file(path_, state);
        if (error)
            std::this_thread::sleep_for(kWriteRetryDelay);
        boost::asio::post(io_, [this, number, state = std::move(state), error]() mutable {
            on_written(number, std::move(state), error);
        });
    });
}

void StateFile::on_written(std::uint64_t number, std::string state,
                           const std::optional<StateWriteError> &error) {
    writing_ = false;
    if (!error) {
        durable_ = number;
        if (on_durable)
            on_durable();
    } else {
        if (on_write_error)
            on_write_error(*error);
        if (!pending_) // otherwise a newer state will be written instead
            pending_ = std::move(state);
    }
    write_next();
}

} // namespace marblewood::net::link
