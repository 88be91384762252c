/**
 * @file json.cpp
 * @brief Definitions of Boost.JSON, so that the program needs no library of it.
 */
#include <boost/json/src.hpp>
