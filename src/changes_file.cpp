/**
 * @file changes_file.cpp
 * @brief Parsing of the YAML files in which operators write configuration changes.
 */
#include "changes_file.h"

#include "configuration_wire.h"
#include "digest_func.h"
#include "error_type.h"

#include <yaml-cpp/yaml.h>

namespace Burdockfield {

namespace {

/// Converts a YAML scalar. Quoted scalars stay strings; others become a number or boolean if they are one.
Json::value scalarToJson(const YAML::Node &node)
{
    const std::string &text = node.Scalar();
    const bool quoted = node.Tag() == "!";
    if (quoted || text.empty()) {
        return Json::string(text);
    }
    Json::error_code error;
    const Json::value parsed = Json::parse(text, error);
    const bool numberOrBool = !error && (parsed.is_number() || parsed.is_bool());
    return numberOrBool ? parsed : Json::value(Json::string(text));
}

Json::value toJson(const YAML::Node &node)
{
    if (node.IsSequence()) {
        Json::array array;
        for (const auto &item : node) {
            array.push_back(toJson(item));
        }
        return array;
    }
    if (node.IsMap()) {
        Json::object object;
        for (const auto &item : node) {
            object[item.first.Scalar()] = toJson(item.second);
        }
        return object;
    }
    return node.IsScalar() ? scalarToJson(node) : Json::value(nullptr);
}

/// Replaces the bearer token of a workspace by its SHA-256 digest, which is what the configuration holds.
void replaceTokenByDigest(Json::value &change)
{
    Json::object *object = change.if_object();
    Json::value *settings = object != nullptr ? object->if_contains("settings") : nullptr;
    Json::object *members = settings != nullptr ? settings->if_object() : nullptr;
    Json::value *token = members != nullptr ? members->if_contains("token") : nullptr;
    if (token != nullptr && token->is_string()) {
        (*members)["token_digest"] = sha256Hex(std::string_view(token->get_string()));
        members->erase("token");
    }
}

} // namespace

std::error_code parseChangesFile(std::string_view text, std::vector<Change> &changes)
{
    try {
        Json::value document = toJson(YAML::Load(std::string(text)));
        if (!document.is_array()) {
            return WireErrc::WrongType;
        }
        for (Json::value &change : document.get_array()) {
            replaceTokenByDigest(change);
        }
        return parseChanges(document, changes);
    } catch (const YAML::Exception & /*exception*/) {
        return SettingsErrc::MalformedYaml;
    }
}

} // namespace Burdockfield
