/**
 * @file error.cpp
 * @brief Error categories of the enumerations in error_type.h.
 */
#include "error_type.h"

#include "table/error_names.h"

#include <span>
#include <string>

namespace Burdockfield {

namespace {

/// Category that takes its messages from a table. std::error_category requires a derived class to override functions.
struct NamedCategory : std::error_category
{
    NamedCategory(const char *name, std::span<const std::string_view> names)
        : name_(name)
        , names_(names)
    {
    }

    const char *name() const noexcept override
    {
        return name_;
    }

    std::string message(int value) const override
    {
        const auto index = static_cast<size_t>(value);
        return std::string(index < names_.size() ? names_[index] : std::string_view("unknown"));
    }

    const char *name_; ///< What name() returns.
    std::span<const std::string_view> names_; ///< Messages, indexed by error value.
};

} // namespace

std::error_code make_error_code(WireErrc errc)
{
    static const NamedCategory category{ "wire", wireErrorNames };
    return { static_cast<int>(errc), category };
}

std::error_code make_error_code(SettingsErrc errc)
{
    static const NamedCategory category{ "settings", settingsErrorNames };
    return { static_cast<int>(errc), category };
}

std::error_code make_error_code(RefusalErrc errc)
{
    static const NamedCategory category{ "refusal", refusalErrorNames };
    return { static_cast<int>(errc), category };
}

std::error_code make_error_code(AdmissionErrc errc)
{
    static const NamedCategory category{ "admission", admissionErrorNames };
    return { static_cast<int>(errc), category };
}

std::error_code make_error_code(TransportErrc errc)
{
    static const NamedCategory category{ "transport", transportErrorNames };
    return { static_cast<int>(errc), category };
}

std::error_code make_error_code(StoreErrc errc)
{
    static const NamedCategory category{ "store", storeErrorNames };
    return { static_cast<int>(errc), category };
}

std::error_code make_error_code(PlanErrc errc)
{
    static const NamedCategory category{ "plan", planErrorNames };
    return { static_cast<int>(errc), category };
}

} // namespace Burdockfield
