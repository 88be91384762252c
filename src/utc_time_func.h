/**
 * @file utc_time_func.h
 * @brief Time of day as text.
 */
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <string_view>

namespace Burdockfield {

/// UTC time in ISO 8601 format, with microseconds.
using UtcTimeText = std::array<char, 27>;

/// Formats a time of day. Async-signal-safe.
inline UtcTimeText formatUtcTime(std::chrono::system_clock::time_point time)
{
    namespace Chrono = std::chrono;
    const auto day = Chrono::floor<Chrono::days>(time);
    const Chrono::year_month_day date(day);
    const Chrono::hh_mm_ss clock(Chrono::floor<Chrono::microseconds>(time - day));
    UtcTimeText text{};
    size_t length = 0;
    const auto add = [&text, &length](int64_t number, size_t digits, char end) {
        for (size_t place = digits; place-- > 0; number /= 10) {
            text[length + place] = static_cast<char>('0' + number % 10);
        }
        text[length + digits] = end;
        length += digits + 1;
    };
    add(static_cast<int>(date.year()), 4, '-');
    add(static_cast<unsigned>(date.month()), 2, '-');
    add(static_cast<unsigned>(date.day()), 2, 'T');
    add(clock.hours().count(), 2, ':');
    add(clock.minutes().count(), 2, ':');
    add(clock.seconds().count(), 2, '.');
    add(clock.subseconds().count(), 6, 'Z');
    return text;
}

} // namespace Burdockfield
