#ifndef CHALKWAY_JSON_H
#define CHALKWAY_JSON_H
/*
    chalkway_json.h -- the parts of a JSON document, unparsed

    WHAT IT IS
        A document that several writers contribute to is parsed part by part:
        a part that the JSON library refuses, for its depth, a number, or a
        text, doesn't hide the others. This module finds the parts. It looks
        at brackets, strings, commas and colons only, in one pass without
        recursion.

    HOW TO USE IT
            static const char* const names[] = {"at", "servers"};
            cw_json_text_t values[2], item;
            cw_json_items_t items;
            if (cw_json_members((cw_json_text_t){text, size}, names, values, 2) &&
                cw_json_items_begin(&items, values[1])) {
                while (cw_json_items_next(&items, &item)) {
                    json_t* value = json_loadb(item.text, item.size, JSON_DECODE_ANY, NULL);
                    ...
                }
                bool is_whole = !items.is_broken;
            }

    WHAT IT DOES NOT DO
        It validates no part, and doesn't decode names of members: one that is
        written with escapes is not found.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

/* A part of a document; not zero-terminated. */
typedef struct cw_json_text_t {
    const char* text;
    size_t size;
} cw_json_text_t;

typedef struct cw_json_items_t {
    cw_json_text_t array;
    size_t at;
    bool has_begun;
    bool is_broken; /* the array ended early, or has no comma between two items */
} cw_json_items_t;

/* Finds the values of the object's members of these names; of several members of a name, the last one. A value that is
   not there has no text. False: the document is no object, from its first bracket to its last one. */
bool cw_json_members(cw_json_text_t document, const char* const* names, cw_json_text_t* values, uint32_t count);
/* False: the text is no array. */
bool cw_json_items_begin(cw_json_items_t* items, cw_json_text_t array);
/* False: there is no further item, or the array is broken. */
bool cw_json_items_next(cw_json_items_t* items, cw_json_text_t* item);

#endif /* CHALKWAY_JSON_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_JSON_IMPL_INCLUDED
#define CHALKWAY_JSON_IMPL_INCLUDED

#include <string.h>

static size_t _cw_json_skip_space(cw_json_text_t t, size_t at) {
    while (at < t.size && strchr(" \t\r\n", t.text[at]) && t.text[at]) {
        at++;
    }
    return at;
}

static bool _cw_json_is_at(cw_json_text_t t, size_t at, char c) {
    return at < t.size && t.text[at] == c;
}

/* Position after the string that begins here; 0: it doesn't end. */
static size_t _cw_json_skip_string(cw_json_text_t t, size_t at) {
    for (at++; at < t.size; at++) {
        if (t.text[at] == '"') {
            return at + 1;
        }
        at += t.text[at] == '\\';
    }
    return 0;
}

/* Position after the brackets that open here; 0: they don't close. */
static size_t _cw_json_skip_brackets(cw_json_text_t t, size_t at) {
    size_t depth = 0;
    while (at < t.size) {
        char c = t.text[at];
        if (c == '"') {
            at = _cw_json_skip_string(t, at);
            if (!at) {
                return 0;
            }
            continue;
        }
        depth += c == '[' || c == '{';
        depth -= c == ']' || c == '}';
        at++;
        if (!depth) {
            return at;
        }
    }
    return 0;
}

/* Position after the value that begins here; 0: there is none, or it doesn't end. */
static size_t _cw_json_skip_value(cw_json_text_t t, size_t at) {
    if (_cw_json_is_at(t, at, '"')) {
        return _cw_json_skip_string(t, at);
    }
    if (_cw_json_is_at(t, at, '[') || _cw_json_is_at(t, at, '{')) {
        return _cw_json_skip_brackets(t, at);
    }
    size_t end = at;
    while (end < t.size && t.text[end] && !strchr(" \t\r\n,:]}[{\"", t.text[end])) {
        end++;
    }
    return end > at ? end : 0;
}

/* One member of an object. */
typedef struct _cw_json_member_t {
    cw_json_text_t name, value; /* the name without its quotes */
} _cw_json_member_t;

/* Reads the member that begins here. Returns the position after it; 0: it is broken. */
static size_t _cw_json_read_member(cw_json_text_t t, size_t at, _cw_json_member_t* member) {
    size_t name_end = _cw_json_is_at(t, at, '"') ? _cw_json_skip_string(t, at) : 0;
    size_t colon = name_end ? _cw_json_skip_space(t, name_end) : 0;
    if (!colon || !_cw_json_is_at(t, colon, ':')) {
        return 0;
    }
    size_t value = _cw_json_skip_space(t, colon + 1);
    size_t end = _cw_json_skip_value(t, value);
    if (end) {
        member->name = (cw_json_text_t){t.text + at + 1, name_end - at - 2};
        member->value = (cw_json_text_t){t.text + value, end - value};
    }
    return end;
}

/* Position of the next member or item after the one that ends here, or after the opening bracket; 0: the object or
   array closes here, or is broken. */
static size_t _cw_json_next(cw_json_text_t t, size_t at, bool has_begun, char close, bool* is_broken) {
    at = _cw_json_skip_space(t, at);
    *is_broken = at >= t.size;
    if (*is_broken || t.text[at] == close) {
        return 0;
    }
    if (!has_begun) {
        return at;
    }
    *is_broken = t.text[at] != ',';
    return *is_broken ? 0 : _cw_json_skip_space(t, at + 1);
}

static void _cw_json_keep_member(const _cw_json_member_t* member, const char* const* names, cw_json_text_t* values,
                                 uint32_t count) {
    for (uint32_t i = 0; i < count; i++) {
        if (member->name.size == strlen(names[i]) && memcmp(member->name.text, names[i], member->name.size) == 0) {
            values[i] = member->value;
        }
    }
}

bool cw_json_members(cw_json_text_t document, const char* const* names, cw_json_text_t* values, uint32_t count) {
    size_t begin = _cw_json_skip_space(document, 0);
    bool is_broken = !_cw_json_is_at(document, begin, '{');
    bool has_begun = false;
    size_t end = begin + 1;
    memset(values, 0, count * sizeof(*values));
    while (!is_broken) {
        size_t at = _cw_json_next(document, end, has_begun, '}', &is_broken);
        if (!at) {
            break;
        }
        _cw_json_member_t member;
        end = _cw_json_read_member(document, at, &member);
        if (!end) {
            return false;
        }
        has_begun = true;
        _cw_json_keep_member(&member, names, values, count);
    }
    return !is_broken && _cw_json_skip_space(document, _cw_json_skip_space(document, end) + 1) == document.size;
}

bool cw_json_items_begin(cw_json_items_t* items, cw_json_text_t array) {
    *items = (cw_json_items_t){.array = array, .at = 1};
    return _cw_json_is_at(array, 0, '[');
}

bool cw_json_items_next(cw_json_items_t* items, cw_json_text_t* item) {
    size_t at = _cw_json_next(items->array, items->at, items->has_begun, ']', &items->is_broken);
    if (!at) {
        return false;
    }
    size_t end = _cw_json_skip_value(items->array, at);
    items->is_broken = !end;
    items->has_begun = true;
    items->at = end;
    *item = (cw_json_text_t){items->array.text + at, end - at};
    return end != 0;
}

#endif /* CHALKWAY_JSON_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
