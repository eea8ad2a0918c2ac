# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0

# A plug-in is a folder with one object library.  All of its objects are linked, so that
# the static objects that register the plug-in are not dropped.

set_property(GLOBAL PROPERTY CYPRESSFORD_PLUGINS "")

function(cypressford_plugin name)
  string(REPLACE "." "_" target plugin_${name})
  add_library(${target} OBJECT ${ARGN})
  target_link_libraries(${target} PRIVATE serve cypressford_warnings)
  set_property(GLOBAL APPEND PROPERTY CYPRESSFORD_PLUGINS ${target})
endfunction()

function(cypressford_link_plugins target)
  get_property(plugins GLOBAL PROPERTY CYPRESSFORD_PLUGINS)
  target_link_libraries(${target} PRIVATE ${plugins})
endfunction()
