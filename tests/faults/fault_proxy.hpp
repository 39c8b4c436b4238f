/// \file
/// Faults in the program's environment: a slow network that delivers data in small chunks, and a wall clock
/// that is changed while the program runs.
#pragma once

#include "../helper.hpp"

namespace test {

/// How a proxy forwards bytes, in both directions.
struct ProxyFaults {
    std::chrono::milliseconds delay = 0ms; ///< delay before data read in one call is forwarded
    std::size_t max_chunk_bytes = 65'536;  ///< the largest number of bytes sent in one call
};

/// Forwards each connection to a port of the loopback address, with the given faults. When one side ends its
/// connection, the proxy forwards what it has received and then shuts down the other side.
class FaultProxy {
public:
    FaultProxy(int target, ProxyFaults faults)
        : faults_(faults), server_([this, target](Socket &client) {
              Socket broker = Socket::to(target);
              std::thread back([&] { forward(broker, client); });
              forward(client, broker);
              back.join();
          }) {}
    int port() const { return server_.port; }

private:
    void forward(Socket &from, Socket &to) const {
        while (from.in.size() > 0 || from.more(600'000)) {
            std::this_thread::sleep_for(faults_.delay);
            while (!from.in.empty()) {
                const std::string chunk = from.in.substr(0, faults_.max_chunk_bytes);
                from.in.erase(0, chunk.size());
                if (!to.send(chunk))
                    break;
            }
        }
        to.shut();
    }

    const ProxyFaults faults_;
    Server server_;
};

/// While an object of this class exists, programs that are started see a wall clock with an offset that the
/// test can change; their monotonic clock is unaffected. The preloaded library `clock_shim` reads the offset
/// from a file that this object owns.
class ClockSteps {
public:
    ClockSteps() : path_(std::filesystem::temp_directory_path() / fmt::format("clock-{}", ::getpid())) {
        step(0s);
        ::setenv("LD_PRELOAD", CLOCK_SHIM, 1);
        ::setenv("CLOCK_SHIM_OFFSET", path_.c_str(), 1);
    }
    ~ClockSteps() {
        ::unsetenv("LD_PRELOAD");
        ::unsetenv("CLOCK_SHIM_OFFSET");
        std::filesystem::remove(path_);
    }
    /// Sets the offset to the real time.
    void step(std::chrono::seconds offset) const {
        const std::int64_t seconds = offset.count();
        std::ofstream(path_, std::ios::binary)
            .write(reinterpret_cast<const char *>(&seconds), sizeof seconds);
    }

private:
    const std::filesystem::path path_;
};

} // namespace test
