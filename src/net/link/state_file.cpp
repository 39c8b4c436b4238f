#include "net/link/state_file.hpp"

#include "net/descriptor.hpp"

#include <boost/asio/post.hpp>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/stat.h>
#include <thread>

namespace marblewood::net::link {
namespace {

constexpr std::chrono::milliseconds kRest{200}; // before a disk that failed is tried again

// Empty where it went well.
std::string write_whole(const std::string &path, const std::string &bytes) {
    const auto trouble = [](const char *what) { return std::string(what) + ": " + std::strerror(errno); };
    const std::string beside = path + ".new";
    {
        const Descriptor file(::open(beside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
        if (file.get() < 0)
            return trouble("open");
        for (std::size_t at = 0; at < bytes.size();) {
            const auto got = ::write(file.get(), bytes.data() + at, bytes.size() - at);
            if (got < 0 && errno == EINTR)
                continue;
            if (got <= 0)
                return trouble("write");
            at += static_cast<std::size_t>(got);
        }
        if (::fsync(file.get()) != 0)
            return trouble("fsync");
    }
    if (::rename(beside.c_str(), path.c_str()) != 0)
        return trouble("rename");
    const std::string folder = std::filesystem::path(path).parent_path();
    const Descriptor dir(::open(folder.empty() ? "." : folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (dir.get() < 0 || ::fsync(dir.get()) != 0)
        return trouble("fsync of the folder");
    return {};
}

} // namespace

std::optional<std::string> StateFile::load() const {
    struct stat there {};
    if (path_.empty() || ::stat(path_.c_str(), &there) != 0)
        return std::nullopt;
    std::ifstream file(path_, std::ios::binary);
    std::ostringstream bytes;
    if (!file || !(bytes << file.rdbuf()))
        throw std::runtime_error("cannot read " + path_);
    return bytes.str();
}

std::uint64_t StateFile::save(std::string state) {
    ++last_;
    if (path_.empty())
        done_ = last_;
    else
        waiting_ = std::move(state);
    if (!busy_)
        next();
    return last_;
}

void StateFile::next() {
    if (!waiting_)
        return;
    busy_ = true;
    std::string state = std::move(*std::exchange(waiting_, std::nullopt));
    boost::asio::post(pool_, [this, number = last_, state = std::move(state)] {
        std::string trouble = write_whole(path_, state);
        if (!trouble.empty())
            std::this_thread::sleep_for(kRest);
        boost::asio::post(io_, [this, number, state, trouble = std::move(trouble)] {
            busy_ = false;
            if (trouble.empty()) {
                done_ = number;
                if (written)
                    written();
            } else {
                if (failed)
                    failed(trouble);
                if (!waiting_)
                    waiting_ = state; // unless there is a newer one
            }
            next();
        });
    });
}

} // namespace marblewood::net::link
