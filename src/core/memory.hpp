// What is held for clients, over all connections and requests, against a bound within the machine's memory.
#pragma once

#include <cstddef>
#include <utility>

namespace marblewood::core {

class Memory {
public:
    explicit Memory(std::size_t most) : most_(most) {}
    bool full() const { return held_ >= (shared_ ? most_ / 2 : most_); }
    void share(bool shared) { shared_ = shared; } // another process has half

    class Share { // what one holder has of it
    public:
        explicit Share(Memory &of, std::size_t bytes = 0) : of_(of) { set(bytes); }
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;
        ~Share() { set(0); }
        void set(std::size_t bytes) {
            of_.held_ += bytes - bytes_;
            bytes_ = bytes;
        }

    private:
        Memory &of_;
        std::size_t bytes_ = 0;
    };

private:
    std::size_t most_, held_ = 0;
    bool shared_ = false;
};

} // namespace marblewood::core
