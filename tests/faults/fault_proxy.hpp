// Faults from outside the program: a network that is slow and cuts what it carries into pieces, and a wall
// clock that is set while the program runs.
#pragma once

#include "../helper.hpp"

namespace test {

/// How a proxy carries bytes, in both directions.
struct ProxyFaults {
    std::chrono::milliseconds late = 0ms; ///< each piece arrives so much later
    std::size_t most_piece = 65'536;      ///< bytes carried at once
};

/// Carries each connection to a port of the loopback address, with its faults. The end of one side ends the
/// other once what came before it has arrived.
class FaultProxy {
public:
    FaultProxy(int target, ProxyFaults faults)
        : faults_(faults), server_([this, target](Socket &client) {
              Socket broker = Socket::to(target);
              std::thread back([&] { carry(broker, client); });
              carry(client, broker);
              back.join();
          }) {}
    int port() const { return server_.port; }

private:
    void carry(Socket &from, Socket &to) const {
        while (from.in.size() > 0 || from.more(600'000)) {
            std::this_thread::sleep_for(faults_.late);
            while (!from.in.empty()) {
                const std::string piece = from.in.substr(0, faults_.most_piece);
                from.in.erase(0, piece.size());
                if (!to.send(piece))
                    break;
            }
        }
        to.shut();
    }

    const ProxyFaults faults_;
    Server server_;
};

/// Programs started while one of these lives see a wall clock that can be set; their monotonic clock runs on.
/// The shared library `clock_shim` reads the offset from a file of this object.
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
    void step(std::chrono::seconds offset) const {
        const std::int64_t seconds = offset.count();
        std::ofstream(path_, std::ios::binary)
            .write(reinterpret_cast<const char *>(&seconds), sizeof seconds);
    }

private:
    const std::filesystem::path path_;
};

} // namespace test
