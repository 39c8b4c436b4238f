/// \file
/// An owned file descriptor, closed when its owner is destroyed.
#pragma once

#include <unistd.h>
#include <utility>

namespace marblewood::net {

class Descriptor {
public:
    explicit Descriptor(int fd = -1) : fd_(fd) {}
    Descriptor(Descriptor &&other) noexcept : fd_(other.release()) {}
    Descriptor &operator=(Descriptor &&other) noexcept {
        std::swap(fd_, other.fd_);
        return *this;
    }
    ~Descriptor() {
        if (fd_ >= 0)
            ::close(fd_);
    }
    int get() const { return fd_; }
    int release() { return std::exchange(fd_, -1); }

private:
    int fd_;
};

} // namespace marblewood::net
