#include <sagechute/Operators.h>

#include <unistd.h>

#include <iostream>

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + std::min(argc, 1), argv + argc);
    std::vector<std::string> environment;
    for (char** it = environ; it && *it; ++it)
        environment.emplace_back(*it);
    return sagechute::operators::runCtl(
        arguments, environment, sagechute::operators::makeHttpApiPort, std::cout, std::cerr);
}
