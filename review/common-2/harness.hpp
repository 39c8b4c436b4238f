/// \file
/// Shared by the cases of the second review: starts the project's programs with the commands of the deploy
/// file, keeps the record of a run, and ends all processes. The stand-ins for clients, discovery and RESP2
/// nodes are those of tests/helper.hpp.
#pragma once

#include "helper.hpp"

#include <cstdio>
#include <sys/stat.h>

namespace review {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

/// Whether the disruption is played: it is not with TROUBLE=0 in the environment.
inline bool trouble() {
    const char *const text = std::getenv("TROUBLE");
    return !text || std::string_view(text) != "0";
}

/// Ends the run as one that could not be played.
[[noreturn]] inline void cannot_run(const std::string &why) {
    std::fprintf(stderr, "cannot run: %s\n", why.c_str());
    std::_Exit(kNotRun);
}

/// The record of a run, with the time since its start in front of each line.
class Record {
public:
    explicit Record(const std::string &path) : file_(path) {
        if (!file_)
            cannot_run("no record file at " + path);
    }
    template <typename... Arguments>
    void line(fmt::format_string<Arguments...> format, Arguments &&...arguments) {
        const std::lock_guard lock(mutex_);
        file_ << fmt::format("{:8.3f} ", seconds())
              << fmt::format(format, std::forward<Arguments>(arguments)...) << std::endl;
    }
    double seconds() const { return std::chrono::duration<double>(Clock::now() - start_).count(); }

private:
    std::ofstream file_;
    std::mutex mutex_;
    const Clock::time_point start_ = Clock::now();
};

/// A temporary folder, removed with the object.
class Folder {
public:
    Folder() {
        std::string name = std::filesystem::temp_directory_path() / "marblewood-review-XXXXXX";
        if (!::mkdtemp(name.data()))
            cannot_run("no temporary folder");
        path_ = name;
    }
    ~Folder() { std::filesystem::remove_all(path_); }
    std::string path(const std::string &name) const { return path_ / name; }
    std::string write(const std::string &name, const std::string &text) const {
        std::ofstream(path_ / name) << text;
        return path(name);
    }
    std::string make(const std::string &name) const {
        std::filesystem::create_directory(path_ / name);
        return path(name);
    }

private:
    std::filesystem::path path_;
};

/// One process of the project. It is started with /bin/sh -c from the repository's root and ends with this
/// one.
class Process {
public:
    using Environment = std::map<std::string, std::string>;
    Process() = default;
    Process(const std::string &root, const std::string &command, const Environment &environment,
            const std::string &log) {
        pid_ = ::fork();
        if (pid_ != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::chdir(root.c_str()) != 0 || !std::freopen(log.c_str(), "a", stderr))
            ::_exit(127);
        for (const auto &[name, value] : environment)
            ::setenv(name.c_str(), value.c_str(), 1);
        ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
        ::_exit(127);
    }
    Process(Process &&other) noexcept : pid_(std::exchange(other.pid_, -1)) {}
    Process &operator=(Process &&other) noexcept {
        kill();
        pid_ = std::exchange(other.pid_, -1);
        return *this;
    }
    ~Process() { kill(); }
    void signal(int number) const { ::kill(pid_, number); }
    void kill() {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        ::waitpid(std::exchange(pid_, -1), nullptr, 0);
    }
    /// Empty while the process runs; else how it ended.
    std::optional<std::string> end() {
        if (pid_ <= 0)
            return "ended";
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) == 0)
            return std::nullopt;
        pid_ = -1;
        return WIFSIGNALED(status) ? fmt::format("ended by signal {}", WTERMSIG(status))
                                   : fmt::format("exited with {}", WEXITSTATUS(status));
    }
    pid_t pid() const { return pid_; }

private:
    pid_t pid_ = -1;
};

/// Connects to a loopback port; -1 if that fails.
inline int dial(int port) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = test::local(port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
        return descriptor;
    ::close(descriptor);
    return -1;
}

/// Waits until the broker at `port` answers PING with +PONG.
inline void await_ready(int port, Process &process) {
    for (int n = 0; n < 500; ++n, std::this_thread::sleep_for(20ms)) {
        if (const auto end = process.end())
            cannot_run("a broker " + *end + " at its start");
        const int descriptor = dial(port);
        if (descriptor < 0)
            continue;
        test::Socket socket(descriptor);
        socket.send("*1\r\n$4\r\nPING\r\n");
        const auto answer = socket.value();
        if (answer && answer->text == "PONG")
            return;
    }
    cannot_run("a broker is not ready");
}

/// What a broker is told; the files are written into a folder of its own.
struct BrokerSetup {
    std::string name = "n0";
    int port = test::free_port();
    int control = test::free_port();
    int discovery = 0;
    std::string known;
    std::string settings = test::kSettings;
    std::string operators; ///< the operator's file; empty: none
};

/// Writes the broker's configuration file, and returns its path.
inline std::string write_configuration(const Folder &folder, const BrokerSetup &setup) {
    return folder.write(
        setup.name + "/config.json",
        fmt::format(
            R"({{"name":"{}","listen":"127.0.0.1:{}","control":"127.0.0.1:{}","discovery":"127.0.0.1:{}",)"
            R"("seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":128,"sockets":512}},)"
            R"("known":{},"settings":{}}})",
            setup.name, setup.port, setup.control, setup.discovery, setup.known, setup.settings));
}

/// Starts a process of a broker with the deploy file's command. Its files are those that start_broker()
/// wrote.
inline Process start_process(const std::string &root, const Folder &folder, const BrokerSetup &setup) {
    Process::Environment environment{{"BALANCER_NAME", setup.name},
                                     {"BALANCER_LISTEN", fmt::format("127.0.0.1:{}", setup.port)},
                                     {"BALANCER_CONTROL", fmt::format("127.0.0.1:{}", setup.control)},
                                     {"BALANCER_DISCOVERY", fmt::format("127.0.0.1:{}", setup.discovery)},
                                     {"BALANCER_CONFIG", folder.path(setup.name + "/config.json")},
                                     {"TMPDIR", folder.make(setup.name + "/tmp")}};
    if (!setup.operators.empty())
        environment["MARBLEWOOD_OPERATOR"] = folder.write(setup.name + "/operator.json", setup.operators);
    return Process(root, "exec build/marblewood", environment, folder.path(setup.name + "/log"));
}

/// Starts a broker and waits until it is ready.
inline Process start_broker(const std::string &root, const Folder &folder, const BrokerSetup &setup) {
    folder.make(setup.name);
    write_configuration(folder, setup);
    Process process = start_process(root, folder, setup);
    await_ready(setup.port, process);
    return process;
}

/// Starts a further process of a running broker, which replaces it. `setup.control` is its own.
inline Process start_successor(const std::string &root, const Folder &folder, const BrokerSetup &setup) {
    return start_process(root, folder, setup);
}

/// A write of `piece` with an idempotency key of its own, for a client that waits `wait_ms`.
inline std::string put(const std::string &piece, const std::string &key, const std::string &body, int wait_ms,
                       const std::string &volume = "00000003b4d60021") {
    return test::resp::command(
        {"OBJ.PUT", piece, test::fresh_id(),
         fmt::format("c=new-write,t=standard,d={},k={},volume={},units=2,shard=0,hosts=1", wait_ms, key,
                     volume),
         body});
}

/// A read of `piece`, for a client that waits 1.5 s.
inline std::string get(const std::string &piece, const std::string &volume) {
    return test::resp::command(
        {"OBJ.GET", piece, test::fresh_id(),
         fmt::format("c=read,t=standard,d=1500,volume={},units=2,shard=0,hosts=1", volume)});
}

/// What a client got for a request.
struct Reply {
    enum class Kind { Served, Refused, Failed, Closed } kind = Kind::Closed;
    std::string value;
};

inline Reply read_reply(test::Socket &client) {
    using Kind = test::resp::Value::Kind;
    const auto answer = client.value();
    if (!answer)
        return {};
    if (answer->kind == Kind::Bulk && !answer->null)
        return {Reply::Kind::Served, answer->text};
    if (answer->kind == Kind::Error && (answer->text == "BUSY" || answer->text.starts_with("BUSY ")))
        return {Reply::Kind::Refused, answer->text};
    return {Reply::Kind::Failed, answer->text};
}

inline const char *name(Reply::Kind kind) {
    switch (kind) {
    case Reply::Kind::Served:
        return "served";
    case Reply::Kind::Refused:
        return "refused";
    case Reply::Kind::Failed:
        return "failed";
    case Reply::Kind::Closed:
        break;
    }
    return "connection closed";
}

} // namespace review
