// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Plug-ins register themselves by name.  The kernel creates them by the name given in
/// settings or bundle and contains no list of plug-ins.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cypressford {

/// All plug-ins that implement Interface, by name.
template <class Interface> class Registry {
public:
    using Factory = std::function<std::unique_ptr<Interface>()>;

    /// The single registry of this interface.
    static Registry& instance()
    {
        static Registry registry;
        return registry;
    }

    void add(std::string name, Factory factory)
    {
        m_factories[std::move(name)] = std::move(factory);
    }

    /// Creates a plug-in; null if no plug-in of that name is registered.
    std::unique_ptr<Interface> make(std::string_view name) const
    {
        auto it = m_factories.find(std::string(name));
        return it == m_factories.end() ? nullptr : it->second();
    }

    std::vector<std::string> names() const
    {
        std::vector<std::string> result;
        result.reserve(m_factories.size());
        for (const auto& [name, factory] : m_factories)
            result.push_back(name);
        return result;
    }

private:
    std::map<std::string, Factory> m_factories;
};

/// A static object of this type registers Plugin when the program starts.
template <class Interface, class Plugin> struct Registration {
    explicit Registration(const char* name)
    {
        Registry<Interface>::instance().add(name,
                                            [] { return std::make_unique<Plugin>(); });
    }
};

} // namespace cypressford
