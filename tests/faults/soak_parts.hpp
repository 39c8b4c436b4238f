/// \file
/// Parts of the soaks with crowds: nodes that record what they take, a crowd that runs beside other clients,
/// the memory of processes, and the series of signals that ends one.
#pragma once

#include "../crowd.hpp"
#include "draw.hpp"
#include "request_loop.hpp"

namespace test {

/// Serves each request with its id, after a time, and records that it was taken. Requests for kLongPiece are
/// served at once with a value of a given length.
class RecordingNodes {
public:
    inline static const std::string kLongPiece = "00000000000000bb";

    RecordingNodes(int count, std::chrono::milliseconds time, std::size_t long_bytes)
        : time_(time), long_bytes_(long_bytes) {
        for (int n = 0; n < count; ++n)
            nodes_.emplace_back(
                [this](const std::vector<std::string> &words, int) { return answer(words[1], words[2]); });
    }
    /// The entries of the endpoint list, all of shard 0.
    std::string members() const {
        std::string all;
        for (int n = 0; const RespNode &node : nodes_)
            all += (n++ == 0 ? "" : ",") + member(fmt::format("s-{}", n), node.server.port, 0);
        return all;
    }
    bool has_taken(const std::string &id) const {
        const std::lock_guard lock(mutex_);
        return taken_.contains(id);
    }

private:
    std::string answer(const std::string &piece, const std::string &id) {
        if (piece == kLongPiece)
            return RespNode::served(std::string(long_bytes_, 'v'));
        {
            const std::lock_guard lock(mutex_);
            taken_.insert(id);
        }
        std::this_thread::sleep_for(time_);
        return RespNode::served(id);
    }
    const std::chrono::milliseconds time_;
    const std::size_t long_bytes_;
    mutable std::mutex mutex_;
    std::set<std::string> taken_;
    std::list<RespNode> nodes_;
};

inline std::string repeated(const std::string &text, int count) {
    std::string all;
    for (int n = 0; n < count; ++n)
        all += text;
    return all;
}
/// The first `bytes` bytes of a write with a body of 64 KiB.
inline std::string begin_of_write(std::size_t bytes) {
    return put(kPiece, std::string(65'536, 'b')).substr(0, bytes);
}
/// A read whose list of names and values has `fields` short fields of no meaning.
inline std::string read_with_short_fields(int fields, int wait_ms) {
    return resp::command(
        {"OBJ.GET", kPiece, fresh_id(),
         fmt::format("c=read,t=standard,d={},volume=00000003b4d60021,units=2,shard=0,hosts=1", wait_ms) +
             repeated(",a=", fields)});
}

/// Runs a crowd in a thread of its own until it is destroyed.
class RunningCrowd {
public:
    RunningCrowd(int port, CrowdBehavior behavior)
        : crowd_(port, std::move(behavior)), thread_([this] {
              while (!stopping_)
                  crowd_.run(20ms);
          }) {}
    ~RunningCrowd() {
        stopping_ = true;
        thread_.join();
    }

private:
    Crowd crowd_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

/// What the system counts of TCP for all of its connections. Under memory pressure it drops packets, which
/// are sent again 200 ms later.
struct TcpCounters {
    long pressure_ms = 0;
    long timeouts = 0;

    static TcpCounters now() {
        std::ifstream file("/proc/net/netstat");
        std::string names;
        std::string values;
        std::getline(file, names);
        std::getline(file, values);
        std::istringstream name_words(names);
        std::istringstream value_words(values);
        TcpCounters counters;
        for (std::string name, value; name_words >> name && value_words >> value;) {
            if (name == "TCPMemoryPressuresChrono")
                counters.pressure_ms = std::stol(value);
            if (name == "TCPTimeouts")
                counters.timeouts = std::stol(value);
        }
        return counters;
    }
};

/// Resident memory of a process; 0 if it has ended.
inline std::size_t resident_kb(pid_t process) {
    std::ifstream status(fmt::format("/proc/{}/status", process));
    for (std::string word; status >> word;)
        if (word == "VmRSS:" && status >> word)
            return std::stoul(word);
    return 0;
}

/// The most that the processes' resident memory has been, together at one time.
class MemorySampler {
public:
    explicit MemorySampler(std::vector<pid_t> processes)
        : processes_(std::move(processes)), thread_([this] {
              for (; !stopping_; std::this_thread::sleep_for(5ms))
                  sample();
          }) {}
    ~MemorySampler() { stop(); }
    std::size_t stop() {
        stopping_ = true;
        if (thread_.joinable())
            thread_.join();
        return peak_kb_;
    }

private:
    void sample() {
        std::size_t sum = 0;
        for (const pid_t process : processes_)
            sum += resident_kb(process);
        peak_kb_ = std::max(peak_kb_, sum);
    }
    const std::vector<pid_t> processes_;
    std::atomic<bool> stopping_ = false;
    std::size_t peak_kb_ = 0;
    std::thread thread_;
};

/// Sends a series of signals, SIGTERM the first that ends the process, and returns as early as SIGKILL may
/// come.
inline void end_with_signals(Draw &draw, Program &program, int longest_ms) {
    using std::chrono::milliseconds;
    for (int n = draw.between(0, 3); n > 0; --n) {
        program.signal(SIGHUP);
        std::this_thread::sleep_for(milliseconds(draw.between(0, 50)));
    }
    program.signal(SIGTERM);
    const auto kill = Clock::now() + kill_after(longest_ms);
    for (int n = draw.between(0, 3); n > 0; --n) {
        std::this_thread::sleep_for(milliseconds(draw.between(0, 200)));
        program.signal(draw.of({SIGTERM, SIGHUP, SIGINT}));
    }
    std::this_thread::sleep_until(kill);
}

/// How a process has ended, by itself or by SIGKILL.
struct ProcessEnd {
    std::size_t peak_kb = 0; ///< resident memory of all processes together
    bool by_itself = false;
    int code = 0;
    /// Whether the process did not end by itself with an error.
    bool in_order() const { return !by_itself || code == 0; }
    const char *manner() const { return by_itself ? "by itself" : "by force"; }
};

/// Has `program` end by a series of signals, and kills it as early as the platform may. Samples the memory of
/// `processes`, of which it is one.
inline ProcessEnd run_to_the_kill(Draw &draw, Program &program, std::vector<pid_t> processes,
                                  int longest_ms) {
    MemorySampler sampler(std::move(processes));
    end_with_signals(draw, program, longest_ms);
    ProcessEnd end{.peak_kb = sampler.stop(), .by_itself = !program.running()};
    if (!end.by_itself)
        program.signal(SIGKILL);
    end.code = program.exit_code();
    std::this_thread::sleep_for(50ms); // time for the clients to see their connections closed
    return end;
}

} // namespace test
