/// \file
/// Random choices of a test, which a seed determines.
#pragma once

#include <initializer_list>
#include <random>

namespace test {

class Draw {
public:
    explicit Draw(unsigned seed) : random_(seed) {}
    int between(int least, int most) { return std::uniform_int_distribution<int>(least, most)(random_); }
    bool one_in(int n) { return between(1, n) == 1; }
    template <typename T> T of(std::initializer_list<T> choices) {
        return *(choices.begin() + between(0, static_cast<int>(choices.size()) - 1));
    }

private:
    std::mt19937 random_;
};

} // namespace test
