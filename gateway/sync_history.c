/* Reads the history of the source: which servers it has listed before this daemon started. */
#include "sync_internal.h"

/* The history of a longer list is neither read, since each host of a fleet that starts would read it, nor needed: with
   so many servers the source has forgotten its beginning. */
#define HISTORY_SERVERS_MAX 500
#define HISTORY_TRIES 5
#define HISTORY_RETRY_MS 150
/* A source that has been restored from an older copy has lost entries that no history shows. */
#define FIRST_EPOCH 1
#define STATUS_GONE 410
#define FORGOTTEN "the source has forgotten its beginning"

static const char* coverage_name(source_coverage_t coverage) {
    static const char* const names[] = {"none", "retained", "complete"};
    return names[coverage];
}

static void reset_search(sync_t* s) {
    cw_servers_free(&s->retained.entries);
    s->retained = (source_history_t){0};
    s->history_after = 0;
    s->forgotten_at = 0;
    s->retained_after = NEVER;
}

static void finish(sync_t* s, const source_history_t* history, source_coverage_t coverage, const char* reason) {
    s->history_state = HISTORY_DONE;
    s->history.failures = 0;
    cw_log(s->desc.log, CW_EVENT_SOURCE_HISTORY, "peer=%s covers=%s entries=%u after=%lld at=%lld reason=\"%s\"",
           s->desc.address, coverage_name(coverage), history->entries.count, (long long)s->history_after,
           (long long)s->list.at, reason);
    if (s->desc.on_history) {
        s->desc.on_history(s->desc.user_data, &history->entries, coverage);
    }
    reset_search(s);
}

static void finish_without(sync_t* s, const char* reason) {
    const source_history_t none = {0};
    finish(s, &none, SOURCE_HISTORY_NONE, reason);
}

void sync_on_history_failure(sync_t* s, const char* why) {
    fetch_t* f = &s->history;
    f->not_before_ms = clock_ms() + HISTORY_RETRY_MS;
    s->history_state = HISTORY_UNREAD;
    reset_search(s);
    if (++f->failures == HISTORY_TRIES) {
        finish_without(s, why);
    }
}

static void request_history(sync_t* s, int64_t after) {
    char path[256];
    s->history_after = after;
    if (!s->desc.source->history_path(path, sizeof(path), after)) {
        finish_without(s, FORGOTTEN);
        return;
    }
    s->stats.source_calls++;
    sync_begin_fetch(&s->history, s->desc.address, path, CALL_TIMEOUT_MS);
}

static bool is_restored(const sync_t* s) {
    return s->epoch.number > FIRST_EPOCH;
}

static source_coverage_t retained_coverage(const sync_t* s, const source_history_t* history) {
    return history->has_unnamed || is_restored(s) ? SOURCE_HISTORY_NONE : SOURCE_HISTORY_RETAINED;
}

/* Whether the newest revision that is known of the source is that of an entry, or of the configuration, which is still
   there. If not, something was removed last, and the source has forgotten what. */
static bool is_newest_change_known(const sync_t* s) {
    int64_t newest = sync_revision(s);
    for (uint32_t i = 0; i < s->list.count; i++) {
        newest = s->list.items[i].revision > newest ? s->list.items[i].revision : newest;
    }
    return newest >= s->list.at;
}

static void finish_from_beginning(sync_t* s, const source_history_t* history) {
    bool is_complete = history->is_complete && history->at >= s->list.at && !is_restored(s);
    finish(s, history, is_complete ? SOURCE_HISTORY_COMPLETE : retained_coverage(s, history),
           is_complete      ? "-"
           : is_restored(s) ? "the source was restored"
                            : "entries are missing");
}

static void finish_retained(sync_t* s) {
    bool has_removed = s->retained_after == NEVER && !is_newest_change_known(s);
    source_history_t retained = s->retained;
    retained.has_unnamed = retained.has_unnamed || has_removed;
    s->retained = (source_history_t){0};
    s->history_after = s->retained_after == NEVER ? s->list.at : s->retained_after;
    finish(s, &retained, retained_coverage(s, &retained),
           has_removed            ? "the newest change was a removal, and is forgotten"
           : retained.has_unnamed ? "entries are missing"
           : is_restored(s)       ? "the source was restored"
                                  : FORGOTTEN);
    cw_servers_free(&retained.entries);
}

/* Searches for the oldest change that the source still has. The latest one is asked for first: often it has been
   forgotten, too, since nothing has changed lately. */
static void search_retained(sync_t* s) {
    int64_t top = s->retained_after == NEVER ? s->list.at : s->retained_after;
    bool is_first = s->retained_after == NEVER && !s->forgotten_at;
    if (top - s->forgotten_at <= 1) {
        finish_retained(s);
    } else {
        request_history(s, is_first ? top - 1 : s->forgotten_at + (top - s->forgotten_at) / 2);
    }
}

static void keep_retained(sync_t* s, const source_history_t* history) {
    cw_servers_free(&s->retained.entries);
    s->retained = *history;
    s->retained_after = s->history_after;
    search_retained(s);
}

void sync_on_history_response(sync_t* s, unsigned status, const char* body, size_t size) {
    source_history_t history = {0};
    cw_error_t err = {0};
    if (status == 429 || status >= 500) {
        sync_on_history_failure(s, "the source is busy");
    } else if (status != 200 && status != STATUS_GONE) {
        finish_without(s, "the source has none");
    } else if (status != 200) {
        s->forgotten_at = s->history_after;
        search_retained(s);
    } else if (s->desc.source->read_history(body, size, &history, &err) != CW_OK) {
        sync_on_history_failure(s, err.message);
        cw_servers_free(&history.entries);
    } else if (s->history_after) {
        keep_retained(s, &history);
    } else {
        finish_from_beginning(s, &history);
        cw_servers_free(&history.entries);
    }
}

bool sync_read_history(sync_t* s, int64_t since_ms) {
    if (s->history_state == HISTORY_DONE && s->history_begun_ms < since_ms) {
        s->history_state = HISTORY_UNREAD;
    }
    if (s->history_state != HISTORY_UNREAD) {
        return s->history_state == HISTORY_RUNNING;
    }
    if (!s->desc.source->history_path || s->list.count > HISTORY_SERVERS_MAX) {
        s->history_begun_ms = clock_ms();
        finish_without(s, "the source has none, or it is too long");
        return false;
    }
    if (clock_ms() >= s->history.not_before_ms) {
        s->history_begun_ms = clock_ms();
        s->history_state = HISTORY_RUNNING;
        reset_search(s);
        request_history(s, 0);
    }
    return true;
}
