/**
 * @file test_main.cpp
 * @brief Main function of the test programs; leaves out the cases that BURDOCKFIELD_KNOWN_RED names.
 */
#define DOCTEST_CONFIG_IMPLEMENT
#include <cstdlib>
#include <doctest/doctest.h>

int main(int argc, char **argv)
{
    doctest::Context context(argc, argv);
    if (const char *cases = std::getenv("BURDOCKFIELD_KNOWN_RED"); cases != nullptr && *cases != '\0') {
        context.addFilter("test-case-exclude", cases);
    }
    return context.run();
}
