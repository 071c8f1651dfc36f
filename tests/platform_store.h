#ifndef CW_TEST_PLATFORM_STORE_H
#define CW_TEST_PLATFORM_STORE_H
/*
    Stand-in for the platform's metadata store, in the loop of the test. It keeps each change as written: items with
    their values, and removals without. A watch returns at once, also without events.
*/
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "../io/httpd.h"
#include "test.h"

#define STORE_KEY_SIZE 64

typedef struct store_change_t {
    int64_t revision, made;
    char key[STORE_KEY_SIZE];
    char* value;     /* NULL: removed */
    bool is_current; /* the last change of its key */
} store_change_t;

typedef struct store_t {
    cw_httpd_t* httpd;
    store_change_t* changes;
    size_t count, capacity, copied_count;
    int64_t revision;
    int64_t forgotten; /* the history up to this revision is gone */
    int64_t era;
    bool is_away;                 /* each call is answered 503; nothing is to be written */
    bool keeps_last_changes_only; /* of each key */
} store_t;

static inline store_change_t* store_find(store_t* s, const char* key) {
    for (size_t i = s->count; i-- > 0;) {
        if (strcmp(s->changes[i].key, key) == 0) {
            return &s->changes[i];
        }
    }
    return NULL;
}

static inline void store_append(store_t* s, const char* key, const char* value) {
    store_change_t* before = store_find(s, key);
    store_change_t change = {.revision = ++s->revision, .made = s->revision, .is_current = true};
    cw_copy(change.key, sizeof(change.key), key);
    change.value = value ? strdup(value) : NULL;
    if (before) {
        before->is_current = false;
        change.made = before->value ? before->made : change.made;
    }
    if (s->count == s->capacity) {
        s->capacity = s->capacity ? 2 * s->capacity : 256;
        s->changes = realloc(s->changes, s->capacity * sizeof(*s->changes));
        ck_assert_ptr_nonnull(s->changes);
    }
    s->changes[s->count++] = change;
}

static inline void store_put(store_t* s, const char* key, const char* value) {
    store_append(s, key, value);
}

static inline void store_remove(store_t* s, const char* key) {
    const store_change_t* item = store_find(s, key);
    if (item && item->value) {
        store_append(s, key, NULL);
    }
}

/* Watches from an earlier revision than the current one are answered 410 from now on. */
static inline void store_forget_history(store_t* s) {
    s->forgotten = s->revision;
}

static inline void store_copy(store_t* s) {
    s->copied_count = s->count;
}

/* Drops all that was written since store_copy. */
static inline void store_restore(store_t* s) {
    while (s->count > s->copied_count) {
        free(s->changes[--s->count].value);
    }
    s->revision = s->count ? s->changes[s->count - 1].revision : 0;
    for (size_t i = 0; i < s->count; i++) {
        s->changes[i].is_current = store_find(s, s->changes[i].key) == &s->changes[i];
    }
    s->era++;
}

static inline json_t* store_item_json(const store_change_t* c) {
    char text[4096];
    sodium_bin2base64(text, sizeof(text), (const unsigned char*)c->value, strlen(c->value),
                      sodium_base64_VARIANT_ORIGINAL);
    return json_pack("{s:s, s:s, s:I, s:I, s:i}", "tls_key", c->key, "value", text, "revision", (json_int_t)c->revision,
                     "made", (json_int_t)c->made, "lease", 0);
}

static inline void store_reply(const store_t* s, cw_exchange_t* x, unsigned status, json_t* body) {
    char era[24];
    char* text = json_dumps(body, JSON_COMPACT);
    snprintf(era, sizeof(era), "%lld", (long long)s->era);
    const cw_header_t headers[] = {{"Content-Type", "application/json"}, {"Store-Era", era}};
    cw_exchange_reply(x, status, headers, 2, text, strlen(text));
    free(text);
    json_decref(body);
}

static inline void store_reply_key(store_t* s, cw_exchange_t* x) {
    const char* key = cw_exchange_arg(x, "tls_key");
    const store_change_t* item = key ? store_find(s, key) : NULL;
    if (!item || !item->value) {
        store_reply(s, x, 404, json_object());
        return;
    }
    json_t* body = store_item_json(item);
    json_object_set_new(body, "at", json_integer(s->revision));
    store_reply(s, x, 200, body);
}

static inline bool store_has_prefix(const store_change_t* c, const char* prefix) {
    return !prefix || strncmp(c->key, prefix, strlen(prefix)) == 0;
}

static inline void store_reply_range(const store_t* s, cw_exchange_t* x) {
    const char* prefix = cw_exchange_arg(x, "path_prefix");
    json_t* items = json_array();
    for (size_t i = 0; i < s->count; i++) {
        const store_change_t* c = &s->changes[i];
        if (c->is_current && c->value && store_has_prefix(c, prefix)) {
            json_array_append_new(items, store_item_json(c));
        }
    }
    store_reply(s, x, 200, json_pack("{s:o, s:b, s:I}", "items", items, "more", 0, "at", (json_int_t)s->revision));
}

static inline void store_reply_watch(const store_t* s, cw_exchange_t* x) {
    const char* prefix = cw_exchange_arg(x, "path_prefix");
    const char* after_arg = cw_exchange_arg(x, "after");
    int64_t after = after_arg ? strtoll(after_arg, NULL, 10) : 0;
    if (after < s->forgotten || after > s->revision) {
        store_reply(s, x, 410, json_object());
        return;
    }
    json_t* events = json_array();
    size_t first = s->count;
    while (first > 0 && s->changes[first - 1].revision > after) {
        first--;
    }
    for (size_t i = first; i < s->count; i++) {
        const store_change_t* c = &s->changes[i];
        if (!store_has_prefix(c, prefix) || (s->keeps_last_changes_only && !c->is_current)) {
            continue;
        }
        json_array_append_new(events, c->value ? store_item_json(c)
                                               : json_pack("{s:s, s:I, s:b}", "tls_key", c->key, "revision",
                                                           (json_int_t)c->revision, "gone", 1));
    }
    store_reply(s, x, 200, json_pack("{s:o, s:I}", "events", events, "at", (json_int_t)s->revision));
}

static inline void store_on_request(cw_exchange_t* x, void* user) {
    store_t* s = user;
    const char* path = cw_exchange_path(x);
    if (s->is_away) {
        store_reply(s, x, 503, json_object());
    } else if (strcmp(path, "/kv-key") == 0) {
        store_reply_key(s, x);
    } else if (strcmp(path, "/kv-range") == 0) {
        store_reply_range(s, x);
    } else if (strcmp(path, "/kv-watch") == 0) {
        store_reply_watch(s, x);
    } else {
        store_reply(s, x, 404, json_object());
    }
}

static inline void store_setup(store_t* s, struct ev_loop* loop) {
    cw_error_t err = {0};
    *s = (store_t){.era = 1};
    s->httpd = cw_httpd_setup(
        &(cw_httpd_desc_t){.loop = loop, .address = "127.0.0.1:0", .on_request = store_on_request, .user_data = s},
        &err);
    ck_assert_msg(s->httpd != NULL, "%s", err.message);
}

static inline void store_shutdown(store_t* s) {
    cw_httpd_shutdown(s->httpd);
    for (size_t i = 0; i < s->count; i++) {
        free(s->changes[i].value);
    }
    free(s->changes);
}

#endif
