#include "link.hpp"

#include <exception>
#include <iostream>

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    try {
        marblewood::benchlink::run(std::cin, std::cout);
    } catch (const std::exception &error) {
        std::cerr << "marblewood_benchlink: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
