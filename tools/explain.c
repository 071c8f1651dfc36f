#include "explain.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define SERVERS_MAX 16
#define BESIDE_MS 2000 /* of state that changed before or after the request's lines */
#define MS_PER_S 1000
#define VALUE_MAX 96

typedef struct line_t {
    int64_t at_ms;
    uint32_t order; /* as read: lines of one time stay in their file's order */
    const char* file;
    bool beside; /* a change of state, not of the request */
    char* text;
} line_t;

typedef struct lines_t {
    line_t* items;
    uint32_t count, capacity;
    char servers[SERVERS_MAX][VALUE_MAX]; /* that the request met */
    uint32_t server_count;
    int64_t first_ms, last_ms;
} lines_t;

/* Time of a line in ms since 1970; -1: none. */
static int64_t line_time(const char* text) {
    const char* at = text[0] == '{' ? strstr(text, "\"time\":\"") : text;
    struct tm t = {0};
    int ms = 0;
    at = at && text[0] == '{' ? at + strlen("\"time\":\"") : at;
    if (!at || sscanf(at, "%d-%d-%dT%d:%d:%d.%dZ", &t.tm_year, &t.tm_mon, &t.tm_mday, &t.tm_hour, &t.tm_min, &t.tm_sec,
                      &ms) != 7) {
        return -1;
    }
    t.tm_year -= 1900;
    t.tm_mon -= 1;
    return (int64_t)timegm(&t) * MS_PER_S + ms;
}

/* The value of a field in either form; false: the line does not have it. */
static bool line_field(const char* text, const char* name, char* out, size_t size) {
    char key[VALUE_MAX];
    bool json = text[0] == '{';
    snprintf(key, sizeof(key), json ? "\"%s\":\"" : " %s=", name);
    const char* at = strstr(text, key);
    if (!at) {
        return false;
    }
    at += strlen(key);
    bool quoted = json || *at == '"';
    at += !json && quoted;
    size_t length = strcspn(at, quoted ? "\"" : " \n");
    if (length >= size) {
        return false;
    }
    memcpy(out, at, length);
    out[length] = 0;
    return true;
}

static bool met(const lines_t* l, const char* server) {
    for (uint32_t i = 0; i < l->server_count; i++) {
        if (strcmp(l->servers[i], server) == 0) {
            return true;
        }
    }
    return false;
}

static void add(lines_t* l, const char* file, const char* text, int64_t at_ms, bool beside) {
    if (l->count == l->capacity) {
        l->capacity = l->capacity ? 2 * l->capacity : 64;
        l->items = realloc(l->items, l->capacity * sizeof(*l->items));
        if (!l->items) {
            abort();
        }
    }
    l->items[l->count] =
        (line_t){.at_ms = at_ms, .order = l->count, .file = file, .beside = beside, .text = strdup(text)};
    l->count++;
}

/* A line of the request itself: its servers and its time are noted. */
static void take_own(lines_t* l, const char* file, const char* text, int64_t at_ms) {
    char server[VALUE_MAX];
    if (line_field(text, "server", server, sizeof(server)) && strcmp(server, "-") != 0 && !met(l, server) &&
        l->server_count < SERVERS_MAX) {
        snprintf(l->servers[l->server_count++], VALUE_MAX, "%s", server);
    }
    l->first_ms = !l->count || at_ms < l->first_ms ? at_ms : l->first_ms;
    l->last_ms = !l->count || at_ms > l->last_ms ? at_ms : l->last_ms;
    add(l, file, text, at_ms, false);
}

/* Whether the file has lines of the request: its daemon dealt with it. */
static bool dealt_with(const lines_t* l, const char* file) {
    for (uint32_t i = 0; i < l->count; i++) {
        if (!l->items[i].beside && l->items[i].file == file) {
            return true;
        }
    }
    return false;
}

/* Whether a line tells of a change of state that may explain the request: of a server that it met, by any daemon, or of
   a daemon that dealt with it. */
static bool is_beside(const lines_t* l, const char* file, const char* text, int64_t at_ms) {
    char value[VALUE_MAX];
    if (at_ms < l->first_ms - BESIDE_MS || at_ms > l->last_ms + BESIDE_MS ||
        line_field(text, "id", value, sizeof(value))) {
        return false;
    }
    if (line_field(text, "server", value, sizeof(value))) {
        return met(l, value);
    }
    static const char* const events[] = {"source-lost", "source-back", "servers-changed", "config-changed", "stopping",
                                         "started",     "woke",        "lines-lost"};
    for (size_t i = 0; i < sizeof(events) / sizeof(events[0]); i++) {
        if (strstr(text, events[i])) {
            return dealt_with(l, file);
        }
    }
    return false;
}

static bool read_file(lines_t* l, const char* id, const char* path, bool beside) {
    FILE* file = fopen(path, "r");
    char* text = NULL;
    size_t size = 0;
    if (!file) {
        return false;
    }
    while (getline(&text, &size, file) > 0) {
        char own[VALUE_MAX];
        int64_t at_ms = line_time(text);
        if (at_ms < 0) {
            continue;
        }
        if (!beside && line_field(text, "id", own, sizeof(own)) && strcmp(own, id) == 0) {
            take_own(l, path, text, at_ms);
        } else if (beside && is_beside(l, path, text, at_ms)) {
            add(l, path, text, at_ms, true);
        }
    }
    free(text);
    fclose(file);
    return true;
}

static int by_time(const void* a, const void* b) {
    const line_t* x = a;
    const line_t* y = b;
    if (x->at_ms != y->at_ms) {
        return x->at_ms < y->at_ms ? -1 : 1;
    }
    return x->order < y->order ? -1 : 1;
}

int explain_request(const char* id, char* const* files, int count, FILE* out) {
    lines_t l = {0};
    bool readable = true;
    for (int i = 0; i < count; i++) {
        readable = read_file(&l, id, files[i], false) && readable;
    }
    int own = (int)l.count;
    for (int i = 0; i < count && own; i++) {
        read_file(&l, id, files[i], true);
    }
    if (l.count) {
        qsort(l.items, l.count, sizeof(*l.items), by_time);
    }
    for (uint32_t i = 0; i < l.count; i++) {
        fprintf(out, "%s%s: %s", l.items[i].beside ? "~ " : "", l.items[i].file, l.items[i].text);
        free(l.items[i].text);
    }
    free(l.items);
    return readable ? own : -1;
}
