// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <set>
#include <string>
#include <vector>

#include <yaml-cpp/yaml.h>

#include <cypressford/error.h>

namespace cypressford {

/// Reads one YAML mapping and records every fault with its line number.
class YamlMapReader {
public:
    YamlMapReader(const YAML::Node& node, std::string mapping_name,
                  std::vector<Fault>& faults)
        : m_node(node)
        , m_mapping_name(std::move(mapping_name))
        , m_faults(faults)
    {
        if (!node.IsMap())
            add(node, m_mapping_name + " must be a mapping");
    }

    template <class T> void read(const char* key, T& out, bool required = false)
    {
        m_known.insert(key);
        const YAML::Node value = child(key);
        if (!value) {
            if (required)
                add(m_node, m_mapping_name + " needs '" + key + "'");
            return;
        }
        try {
            out = value.as<T>();
        } catch (const YAML::Exception&) {
            add(value, m_mapping_name + ": '" + key + "' has the wrong type");
        }
    }

    /// Nothing is read if the key is missing, which differs from an empty value.
    template <class T> void read(const char* key, std::optional<T>& out)
    {
        if (!child(key))
            return;
        T value {};
        read(key, value);
        out = std::move(value);
    }

    template <class F> void each(const char* key, F&& visit)
    {
        m_known.insert(key);
        const YAML::Node value = child(key);
        if (!value)
            return;
        if (!value.IsSequence()) {
            add(value, m_mapping_name + ": '" + key + "' must be a list");
            return;
        }
        for (const auto& item : value)
            visit(item);
    }

    YAML::Node child(const char* key)
    {
        m_known.insert(key);
        return m_node.IsMap() ? m_node[key] : YAML::Node(YAML::NodeType::Undefined);
    }

    /// Adds a fault that names the new key if the mapping has a key of an earlier version.
    void refuse_renamed(const char* old_key, const char* key)
    {
        if (const YAML::Node value = child(old_key))
            add(value, m_mapping_name + ": '" + old_key + "' is now called '" + key + "'");
    }

    void refuse_unknown_keys()
    {
        if (!m_node.IsMap())
            return;
        for (const auto& entry : m_node) {
            const auto key = entry.first.as<std::string>("");
            if (m_known.count(key) == 0)
                add(entry.first, m_mapping_name + ": unknown key '" + key + "'");
        }
    }

    void add(const YAML::Node& where, std::string message)
    {
        m_faults.push_back({where.Mark().line + 1, std::move(message)});
    }

private:
    const YAML::Node m_node;
    std::string m_mapping_name;
    std::vector<Fault>& m_faults;
    std::set<std::string> m_known;
};

} // namespace cypressford
