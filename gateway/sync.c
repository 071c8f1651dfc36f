#include "sync.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../chalkway_changes.h"
#include "../chalkway_life.h"
#include "../chalkway_packed.h"
#include "../chalkway_pull.h"
#include "../chalkway_reader.h"
#include "../io/buffer.h"
#include "../io/httpd.h"
#include "clock.h"

#define CALL_MS 1000      /* a call to the source or a peer may take */
#define LIST_CALL_MS 3000 /* a peer's whole list, which its link may carry to many at once */
#define PEERS_FIRST_MS                                                                                                 \
    5000 /* after its start a host that is offered what it lacks doesn't ask the source for so long */
#define BODY_MAX (16U << 20) /* longest answer that is read */
#define WHOLE_AFTER 20       /* readings of changes; then the whole list is read again, whatever they said */
#define PAGES_KEPT_MS                                                                                                  \
    3000                /* a list is read on from the page at which a call failed, unless its first page is older      \
                         */
#define STATUS_GONE 410 /* the source no longer knows the changes since then */
#define OUTAGE_MS 2000  /* a list that nobody confirmed for so long: entries may have lapsed while it was away */
/* After the source came back from an older copy: a hall that was known to be closed stays closed for so long, until the
   operator has written again what was lost, which takes him up to 5 s. */
#define RESTORED_MS 6000
#define LIFE_LINE_MS 10000    /* at most one line in so long on lives that can't be */
#define REFUSED_LINE_MS 10000 /* at most one line in so long on entries that name no server */
#define NEVER CW_READER_NEVER

/* One kind of call to the source or a peer. */
typedef struct fetch_t {
    sync_t* sync;
    cw_client_t* client;
    cw_call_t* call; /* NULL: none under way */
    cw_buffer_t body;
    int64_t next_ms;
    uint32_t failures;                /* in a row */
    char peer[CW_SERVER_ADDRESS_MAX]; /* who is asked */
    bool of_source;                   /* not a peer */
    char life[CW_NAME_MAX];           /* of the source, as its answer says, "" it does not */
    void (*on_answer)(sync_t* s, unsigned status, const char* body, size_t size);
    void (*on_failure)(sync_t* s, const char* why);
} fetch_t;

struct sync_t {
    sync_desc_t desc;
    cw_client_t* client;
    cw_httpd_t* share;
    fetch_t catalog, servers, peer_catalog, peer_servers;
    int64_t mark;       /* of the configuration read last from the source */
    int64_t catalog_ms; /* when the configuration in force was last known to be the newest, NEVER: none */
    cw_catalog_t* in_force;
    char* text; /* native document in force */
    cw_servers_t list;
    cw_servers_t pages; /* being read: page by page, or the list in force with its changes */
    bool by_changes;    /* the call under way asks for changes */
    bool for_closed;    /* the call under way asks for the closed halls */
    int64_t closed_ms;  /* when this daemon read them last, NEVER: not yet */
    char page_after[CW_NAME_MAX * 2];
    int64_t pages_ms;      /* when the first page, or the changes, were asked for, NEVER: nothing is being read */
    int64_t changes_from;  /* revision from which they were asked for */
    uint32_t page_count;   /* read so far */
    uint32_t whole_pages;  /* of the whole list */
    bool whole_known;      /* this daemon or a peer has read the whole list, and it isn't to be read again */
    uint32_t changes_read; /* readings of changes since */
    uint64_t list_id;
    cw_changes_t changes;      /* that led to it */
    bool whole_wanted;         /* from a peer: its changes did not lead to its list */
    int64_t list_ms;           /* when the list in force was last known to be true at the source, NEVER: none */
    cw_life_t life;            /* of the source */
    bool restored;             /* no list of this life is in force yet */
    cw_closed_t closed_before; /* known from the life before */
    int64_t closed_until_ms;   /* they count so long */
    int64_t life_told_ms;
    cw_pull_t catalog_pull, servers_pull;
    cw_reader_t reader;
    uint64_t draws;
    bool lost;
    sync_stats_t stats;
    uint64_t refused_untold; /* entries since the last line on them */
    int64_t refused_told_ms;
};

/* -- one call ------------------------------------------------------------- */

static bool on_data(void* user, const char* data, size_t size) {
    fetch_t* f = user;
    if (f->body.size + size <= BODY_MAX) {
        cw_buffer_add(&f->body, data, size);
    }
    return true;
}

static void on_head(void* user, unsigned status, const char* content_type) {
    fetch_t* f = user;
    (void)status;
    (void)content_type;
    const char* field = f->sync->desc.source->life_field;
    const char* life = f->of_source && field ? cw_call_header(f->call, field) : NULL;
    cw_copy(f->life, sizeof(f->life), life ? life : "");
}

static void read_whole(sync_t* s);
static cw_life_verdict_t hear_life(sync_t* s, const char* life);

static void on_done(void* user, const cw_call_result_t* result) {
    fetch_t* f = user;
    cw_buffer_t body = f->body;
    f->body = (cw_buffer_t){0};
    f->call = NULL;
    cw_life_verdict_t life = result->whole && f->life[0] ? hear_life(f->sync, f->life) : CW_LIFE_SAME;
    if (life == CW_LIFE_OLDER) {
        f->on_failure(f->sync, "an answer of an earlier life");
    } else if (life == CW_LIFE_NEWER && f == &f->sync->servers) {
        read_whole(f->sync); /* what was asked by a number of the life before is of no use */
    } else if (result->whole) {
        f->on_answer(f->sync, result->status, cw_buffer_text(&body), body.size);
    } else {
        f->on_failure(f->sync, result->message);
    }
    cw_buffer_free(&body);
}

static void fetch(fetch_t* f, const char* address, const char* path, uint32_t timeout_ms) {
    char url[512];
    snprintf(url, sizeof(url), "http://%s%s", address, path);
    cw_copy(f->peer, sizeof(f->peer), address);
    f->life[0] = 0;
    f->call = cw_client_call(f->client, &(cw_call_desc_t){.url = url,
                                                          .connect_ms = CALL_MS,
                                                          .timeout_ms = timeout_ms,
                                                          .on_head = on_head,
                                                          .on_data = on_data,
                                                          .on_done = on_done,
                                                          .user_data = f});
}

static void fetch_cancel(fetch_t* f) {
    if (f->call) {
        cw_call_cancel(f->call);
        f->call = NULL;
        cw_buffer_free(&f->body);
    }
}

static uint64_t draw(sync_t* s) {
    return cw_mix(s->desc.seed, ++s->draws);
}

/* After a failed call to the source. */
static void back_off(fetch_t* f) {
    f->next_ms = clock_ms() + cw_reader_pause_ms(&f->sync->reader, ++f->failures, draw(f->sync));
}

/* After a failed call to a peer: another one is asked soon, whatever the rank. */
static void back_off_peer(fetch_t* f) {
    f->next_ms = clock_ms() + cw_reader_pause_ms(&(cw_reader_t){0}, ++f->failures, draw(f->sync));
}

static void fetch_ok(fetch_t* f) {
    f->failures = 0;
    f->next_ms = 0;
}

/* -- what is known of the source ------------------------------------------ */

static void source_failed(sync_t* s, fetch_t* f, const char* why) {
    s->stats.source_failures++;
    back_off(f);
    if (!s->lost) {
        cw_log(s->desc.log, CW_EVENT_SOURCE_LOST, "peer=%s reason=\"%s\" revision=%lld servers_age_ms=%lld",
               s->desc.address, why, (long long)sync_revision(s), (long long)sync_stats(s).servers_age_ms);
        s->lost = true;
    }
}

static void source_works(sync_t* s) {
    if (s->lost) {
        cw_log(s->desc.log, CW_EVENT_SOURCE_BACK, "peer=%s", s->desc.address);
        s->lost = false;
    }
}

/* -- taking over ---------------------------------------------------------- */

/* Puts a native document in force unless it is older; takes over the text. */
static void adopt_catalog(sync_t* s, char* text, const char* from) {
    cw_error_t err = {0};
    cw_catalog_t* catalog = cw_catalog_read(text, strlen(text), &err);
    if (!catalog) {
        cw_log(s->desc.log, CW_EVENT_CONFIG_INVALID, "peer=%s step=%s reason=\"%s\" revision=%lld", from, err.step,
               err.message, (long long)sync_revision(s));
        free(text);
        return;
    }
    if (catalog->revision <= sync_revision(s)) {
        cw_catalog_release(catalog);
        free(text);
        return;
    }
    cw_catalog_release(s->in_force);
    free(s->text);
    s->in_force = catalog;
    s->text = text;
    cw_pull_cancel(&s->catalog_pull);
    cw_log(s->desc.log, CW_EVENT_CONFIG_CHANGED, "revision=%lld routes=%u pools=%u workspaces=%u from=%s",
           (long long)catalog->revision, catalog->route_count, catalog->pool_count, catalog->workspace_count, from);
    s->desc.on_catalog(s->desc.user_data, catalog);
}

/* Tells of entries that name no server; what comes sooner than the last line is counted until the next. */
static void tell_refused(sync_t* s, const cw_refused_t* refused) {
    int64_t now_ms = clock_ms();
    s->stats.entries_refused += refused->count;
    s->refused_untold += refused->count;
    if (!refused->count || (s->refused_told_ms && now_ms - s->refused_told_ms < REFUSED_LINE_MS)) {
        return;
    }
    cw_log(s->desc.log, CW_EVENT_ENTRY_REFUSED, "key=%s field=%s reason=\"%s\" refused=%llu", refused->key,
           refused->fault.field, refused->fault.reason, (unsigned long long)s->refused_untold);
    s->refused_untold = 0;
    s->refused_told_ms = now_ms;
}

/* The copy lacks what was closed after it was made: not opened before that can have been written again. */
static void keep_closed(sync_t* s, cw_closed_t* closed) {
    for (uint32_t i = 0; i < s->closed_before.count && clock_ms() < s->closed_until_ms; i++) {
        cw_closed_add(closed, s->closed_before.halls[i]); /* full: as many halls are closed as there can be */
    }
}

/* Puts a list in force that was true at the time; takes it over. */
static void adopt_servers(sync_t* s, cw_servers_t* list, int64_t true_ms) {
    if (true_ms < s->list_ms) {
        cw_servers_free(list);
        return;
    }
    bool first = s->list_ms == NEVER;
    bool after_outage = !first && (true_ms - s->list_ms >= OUTAGE_MS || s->restored);
    s->restored = false;
    if (list->closed.at < s->list.closed.at) {
        list->closed = s->list.closed; /* known from a later reading */
    }
    keep_closed(s, &list->closed);
    cw_servers_drop_unstarted(list);
    tell_refused(s, &list->refused);
    cw_servers_sort(list);
    bool same = !first && cw_servers_equal(&s->list, list);
    cw_changes_note(&s->changes, &s->list, list);
    cw_servers_free(&s->list);
    s->list = *list;
    *list = (cw_servers_t){0};
    s->list_id = cw_servers_id(&s->list);
    s->list_ms = true_ms;
    cw_pull_cancel(&s->servers_pull);
    if (!same) {
        s->desc.on_servers(s->desc.user_data, &s->list, after_outage);
    }
}

static void refuse_answer(sync_t* s, const char* from, const cw_error_t* err) {
    cw_log(s->desc.log, CW_EVENT_CONFIG_INVALID, "peer=%s step=%s reason=\"%s\" revision=%lld", from, err->step,
           err->message, (long long)sync_revision(s));
}

/* -- the source: configuration -------------------------------------------- */

static void on_catalog_failure(sync_t* s, const char* why) {
    source_failed(s, &s->catalog, why);
}

static void on_catalog_answer(sync_t* s, unsigned status, const char* body, size_t size) {
    source_news_t news = {0};
    cw_error_t err = {0};
    if (status != 200) {
        char why[32];
        snprintf(why, sizeof(why), "status %u", status);
        source_failed(s, &s->catalog, why);
        return;
    }
    if (s->desc.source->read_catalog(body, size, s->mark, &news, &err) != CW_OK) {
        refuse_answer(s, s->desc.address, &err);
        free(news.catalog);
        back_off(&s->catalog);
        return;
    }
    source_works(s);
    fetch_ok(&s->catalog);
    s->mark = news.mark;
    if (news.catalog) {
        adopt_catalog(s, news.catalog, s->desc.address);
    }
    s->catalog_ms = clock_ms();
}

static void read_source_catalog(sync_t* s) {
    char path[256];
    s->stats.source_calls++;
    s->desc.source->catalog_path(path, sizeof(path), s->mark);
    fetch(&s->catalog, s->desc.address, path, CALL_MS);
}

/* -- the source: servers -------------------------------------------------- */

static void drop_pages(sync_t* s) {
    cw_servers_free(&s->pages);
    s->page_after[0] = 0;
    s->page_count = 0;
    s->pages_ms = NEVER;
    s->by_changes = s->for_closed = false;
}

/* After a failed call. A source that is crowded by a fleet that starts anew would else be asked for the same pages
   again and again, and nobody would come to the end of a long list. */
static void keep_pages(sync_t* s) {
    if (s->by_changes || !s->page_after[0]) {
        drop_pages(s);
    }
}

static void read_page(sync_t* s) {
    char path[512];
    s->stats.source_calls++;
    s->desc.source->servers_path(path, sizeof(path), s->page_after);
    fetch(&s->servers, s->desc.address, path, CALL_MS);
}

static void read_changes(sync_t* s) {
    char path[512];
    s->stats.source_calls++;
    s->by_changes = true;
    s->changes_read++;
    s->pages_ms = clock_ms();
    s->changes_from = s->list.at;
    cw_servers_copy(&s->pages, &s->list); /* the list in force may be another one when the answer comes */
    s->desc.source->changes_path(path, sizeof(path), s->list.at);
    fetch(&s->servers, s->desc.address, path, CALL_MS);
}

static void read_whole(sync_t* s) {
    drop_pages(s);
    s->pages_ms = clock_ms();
    read_page(s);
}

/* What changed costs one call, the whole list one for each page. The list may be a peer's, which vouches for it. */
static void read_source_servers(sync_t* s, int64_t now_ms) {
    bool knows = s->desc.source->changes_path && s->list_ms != NEVER && s->list.at && s->whole_pages != 1;
    if (s->pages_ms != NEVER && now_ms - s->pages_ms < PAGES_KEPT_MS) {
        read_page(s);
        return;
    }
    if (knows && s->whole_known && s->changes_read < WHOLE_AFTER) {
        drop_pages(s);
        read_changes(s);
    } else {
        read_whole(s);
    }
}

/* The source is back from an older copy. What is known stays in use; no number of the life before may be asked by or
   compared any more, so all is read anew, by whoever reads at the usual pace: the others hear it from peers. */
static void begin_life(sync_t* s, int64_t before) {
    cw_log(s->desc.log, CW_EVENT_SOURCE_RESTORED, "peer=%s life=%lld was=%lld revision=%lld servers=%u closed=%u",
           s->desc.address, (long long)s->life.number, (long long)before, (long long)sync_revision(s), s->list.count,
           s->list.closed.count);
    s->restored = true;
    s->mark = 0;
    s->whole_known = false;
    s->closed_ms = NEVER;
    s->closed_before = s->list.closed;
    s->closed_until_ms = clock_ms() + RESTORED_MS;
    s->list.closed.at = 0;
    fetch_cancel(&s->servers);
    drop_pages(s);
}

static cw_life_verdict_t hear_life(sync_t* s, const char* life) {
    int64_t before = s->life.number;
    cw_life_verdict_t verdict = cw_life_hear(&s->life, life);
    int64_t now_ms = clock_ms();
    bool odd = verdict == CW_LIFE_OLDER || verdict == CW_LIFE_MALFORMED;
    if (verdict == CW_LIFE_NEWER) {
        begin_life(s, before);
    } else if (odd && (!s->life_told_ms || now_ms - s->life_told_ms >= LIFE_LINE_MS)) {
        cw_log(s->desc.log, CW_EVENT_SOURCE_LIFE_ODD, "peer=%s life=\"%s\" verdict=%s known=%lld", s->desc.address,
               life, verdict == CW_LIFE_OLDER ? "older" : "malformed", (long long)s->life.number);
        s->life_told_ms = now_ms;
    }
    return verdict;
}

static void adopt_pages(sync_t* s) {
    fetch_ok(&s->servers);
    adopt_servers(s, &s->pages, s->pages_ms);
    drop_pages(s);
}

/* The last call of a reading, where the halls that are known to be closed have grown too old. */
static bool read_closed(sync_t* s) {
    bool due = s->closed_ms == NEVER || clock_ms() - s->closed_ms >= (int64_t)s->desc.closed_ms;
    if (!s->desc.closed_ms || !s->desc.source->closed_path || !due) {
        return false;
    }
    char path[256];
    s->stats.source_calls++;
    s->for_closed = true;
    s->desc.source->closed_path(path, sizeof(path));
    fetch(&s->servers, s->desc.address, path, CALL_MS);
    return true;
}

/* The servers are taken over without the closed halls, which stay as they were known. */
static void closed_failed(sync_t* s, const char* why) {
    adopt_servers(s, &s->pages, s->pages_ms);
    drop_pages(s);
    source_failed(s, &s->servers, why);
}

static void on_closed_answer(sync_t* s, const char* body, size_t size) {
    cw_closed_t closed = {0};
    cw_error_t err = {0};
    if (s->desc.source->read_closed(body, size, &closed, &err) != CW_OK) {
        refuse_answer(s, s->desc.address, &err);
        closed_failed(s, err.message);
        return;
    }
    if (err.status != CW_OK) {
        refuse_answer(s, s->desc.address, &err); /* some of it */
    }
    s->closed_ms = clock_ms();
    s->pages.closed = closed;
    adopt_pages(s);
}

static void on_servers_failure(sync_t* s, const char* why) {
    if (s->for_closed) {
        closed_failed(s, why);
        return;
    }
    keep_pages(s);
    source_failed(s, &s->servers, why);
}

static void on_servers_answer(sync_t* s, unsigned status, const char* body, size_t size) {
    source_news_t news = {0};
    cw_error_t err = {0};
    if (s->by_changes && status == STATUS_GONE) {
        read_whole(s);
        return;
    }
    if (status != 200) {
        char why[32];
        snprintf(why, sizeof(why), "status %u", status);
        on_servers_failure(s, why);
        return;
    }
    if (s->for_closed) {
        on_closed_answer(s, body, size);
        return;
    }
    cw_status_t read = s->by_changes ? s->desc.source->read_changes(body, size, &s->pages, &err)
                                     : s->desc.source->read_servers(body, size, &s->pages, &news, &err);
    if (read != CW_OK) {
        refuse_answer(s, s->desc.address, &err);
        drop_pages(s);
        s->whole_known = false;
        back_off(&s->servers);
        return;
    }
    source_works(s);
    if (s->by_changes && s->pages.at == s->changes_from) {
        read_whole(s); /* not a heartbeat was told: changes may have been held back too */
        return;
    }
    s->page_count++;
    if (news.more && news.after[0]) {
        cw_copy(s->page_after, sizeof(s->page_after), news.after);
        read_page(s);
        return;
    }
    if (!s->by_changes) {
        s->whole_known = true;
        s->changes_read = 0;
        s->whole_pages = s->page_count;
    }
    if (!read_closed(s)) {
        adopt_pages(s);
    }
}

/* -- peers ---------------------------------------------------------------- */

static void on_peer_failure(sync_t* s, const char* why) {
    (void)why;
    back_off_peer(&s->peer_catalog);
}

static void on_peer_catalog(sync_t* s, unsigned status, const char* body, size_t size) {
    fetch_ok(&s->peer_catalog);
    if (status == 200 && size) {
        adopt_catalog(s, strndup(body, size), s->peer_catalog.peer);
    }
}

static void on_peer_servers_failure(sync_t* s, const char* why) {
    (void)why;
    back_off_peer(&s->peer_servers);
}

/* The list in force with a peer's changes. */
static cw_status_t read_delta(sync_t* s, cw_servers_t* list, const char* body, size_t size, cw_error_t* err) {
    cw_delta_t delta = {0};
    if (cw_delta_read(&delta, body, size, err) != CW_OK) {
        return CW_ERR_INVALID;
    }
    cw_servers_copy(list, &s->list);
    cw_status_t status = CW_OK;
    if (!cw_delta_apply(list, &delta)) {
        s->whole_wanted = true;
        status =
            cw_fail(err, CW_ERR_STALE, "servers", s->peer_servers.peer, "changes of another list than the own one");
        cw_servers_free(list);
    }
    cw_delta_free(&delta);
    return status;
}

/* A peer's whole list counts as read here when the peer vouched for it: whoever reads on does so by changes. Pages that
   are being read meanwhile would only repeat it. */
static void adopt_peers_list(sync_t* s, cw_servers_t* list, bool delta) {
    int64_t true_ms = clock_ms() - list->age_ms;
    bool newer = true_ms >= s->list_ms;
    adopt_servers(s, list, true_ms);
    if (newer && !delta) {
        s->whole_known = true;
    }
    if (newer && s->pages_ms != NEVER && !s->by_changes && true_ms >= s->pages_ms) {
        fetch_cancel(&s->servers);
        drop_pages(s);
        fetch_ok(&s->servers);
    }
}

static void on_peer_servers(sync_t* s, unsigned status, const char* body, size_t size) {
    cw_servers_t list = {0};
    cw_error_t err = {0};
    fetch_ok(&s->peer_servers);
    if (status != 200) {
        return;
    }
    s->whole_wanted = false;
    bool delta = cw_delta_is(body, size);
    cw_status_t read = delta                      ? read_delta(s, &list, body, size, &err)
                       : cw_packed_is(body, size) ? cw_packed_read(&list, body, size, &err)
                                                  : cw_servers_read(&list, body, size, &err);
    if (read != CW_OK) {
        refuse_answer(s, s->peer_servers.peer, &err);
        return;
    }
    adopt_peers_list(s, &list, delta);
}

/* Notes that the peer has a newer document. */
static void offered(sync_t* s, const fetch_t* f, cw_pull_t* pull, const char* peer, uint64_t version) {
    int64_t now_ms = clock_ms();
    if (f->call || now_ms < f->next_ms) {
        return;
    }
    cw_pull_told(
        pull, &(cw_pull_offer_t){
                  .now_ms = now_ms, .version = version, .peer = peer, .daemons = s->reader.daemons, .draw = draw(s)});
}

/* Fetches from a peer when it is time. */
static void pull(sync_t* s, fetch_t* f, cw_pull_t* wanted, const char* path, uint32_t timeout_ms, int64_t now_ms) {
    const char* peer = cw_pull_due(wanted, now_ms);
    if (peer) {
        s->stats.peer_calls++;
        fetch(f, peer, path, timeout_ms);
    }
}

/* A peer holds what this host lacks at its start, and is about to be asked or being asked. */
static bool peers_first(const sync_t* s, const fetch_t* f, const cw_pull_t* wanted, int64_t now_ms) {
    return (wanted->wanted || f->call) && now_ms - s->reader.started_ms < PEERS_FIRST_MS;
}

/* Where a peer's list is read, or (true) what changed since the own one. */
static bool peer_servers_path(const sync_t* s, char* out, size_t size) {
    bool changes = s->list_ms != NEVER && s->list.at && !s->whole_wanted;
    if (changes) {
        snprintf(out, size, "/servers?packed=1&have=%lld", (long long)s->list.at);
    } else {
        snprintf(out, size, "/servers?packed=1");
    }
    return changes;
}

void sync_on_peer(sync_t* s, const char* share, const cw_knowledge_t* k) {
    int64_t now_ms = clock_ms();
    int64_t catalog_ms = now_ms - k->revision_age_ms;
    int64_t list_ms = now_ms - k->servers_age_ms;
    if ((int64_t)k->revision > sync_revision(s)) {
        offered(s, &s->peer_catalog, &s->catalog_pull, share, k->revision);
    } else if (k->revision && (int64_t)k->revision == sync_revision(s) && catalog_ms > s->catalog_ms) {
        s->catalog_ms = catalog_ms;
    }
    if (k->servers && k->servers == s->list_id) {
        s->list_ms = list_ms > s->list_ms ? list_ms : s->list_ms;
    } else if (k->servers && list_ms > s->list_ms) {
        offered(s, &s->peer_servers, &s->servers_pull, share, k->servers);
    }
}

void sync_set_rank(sync_t* s, uint32_t rank, uint32_t daemons) {
    s->reader.rank = rank;
    s->reader.daemons = daemons;
}

static uint32_t age_of(int64_t true_ms, int64_t now_ms) {
    return true_ms == NEVER || now_ms - true_ms > UINT32_MAX ? UINT32_MAX : (uint32_t)(now_ms - true_ms);
}

cw_knowledge_t sync_knowledge(const sync_t* s) {
    int64_t now_ms = clock_ms();
    return (cw_knowledge_t){.revision = (uint64_t)sync_revision(s),
                            .servers = s->list_id,
                            .revision_age_ms = age_of(s->catalog_ms, now_ms),
                            .servers_age_ms = age_of(s->list_ms, now_ms)};
}

/* -- sharing -------------------------------------------------------------- */

/* What a peer gets whose list is complete up to the revision (NULL: that has none), in the compact form where it reads
   that. To be freed by free(). */
static char* shared_servers(sync_t* s, const char* have, bool packed, size_t* size) {
    cw_delta_t delta = {0};
    char* text = NULL;
    s->list.age_ms = age_of(s->list_ms, clock_ms());
    if (have && cw_changes_since(&s->changes, &s->list, strtoll(have, NULL, 10), &delta)) {
        delta.age_ms = s->list.age_ms;
        text = cw_delta_text(&delta);
    } else if (packed) {
        return cw_packed_write(&s->list, size);
    } else {
        text = cw_servers_text(&s->list);
    }
    cw_delta_free(&delta);
    *size = strlen(text);
    return text;
}

static void on_share_request(cw_exchange_t* x, void* user) {
    sync_t* s = user;
    static const cw_header_t json = {"Content-Type", "application/json"};
    static const cw_header_t msgpack = {"Content-Type", "application/msgpack"};
    const char* path = cw_exchange_path(x);
    if (strcmp(path, "/catalog") == 0 && s->text) {
        const char* after = cw_exchange_arg(x, "after");
        bool newer = !after || strtoll(after, NULL, 10) < sync_revision(s);
        cw_exchange_reply(x, 200, &json, 1, s->text, newer ? strlen(s->text) : 0);
    } else if (strcmp(path, "/servers") == 0 && s->list_ms != NEVER) {
        size_t size = 0;
        char* text = shared_servers(s, cw_exchange_arg(x, "have"), cw_exchange_arg(x, "packed") != NULL, &size);
        cw_exchange_reply(x, 200, cw_packed_is(text, size) ? &msgpack : &json, 1, text, size);
        free(text);
    } else {
        cw_exchange_reply(x, 404, NULL, 0, "", 0);
    }
}

/* -- setup ---------------------------------------------------------------- */

bool sync_ready(const sync_t* s) {
    return s->in_force && s->list_ms != NEVER;
}

int64_t sync_revision(const sync_t* s) {
    return s->in_force ? s->in_force->revision : 0;
}

const cw_servers_t* sync_servers(const sync_t* s) {
    return s->list_ms == NEVER ? NULL : &s->list;
}

sync_stats_t sync_stats(const sync_t* s) {
    sync_stats_t stats = s->stats;
    stats.revision = sync_revision(s);
    stats.servers_age_ms = s->list_ms == NEVER ? -1 : clock_ms() - s->list_ms;
    stats.source_lost = s->lost;
    return stats;
}

void sync_tick(sync_t* s, int64_t now_ms) {
    pull(s, &s->peer_catalog, &s->catalog_pull, "/catalog", CALL_MS, now_ms);
    char path[64];
    bool whole = !peer_servers_path(s, path, sizeof(path));
    pull(s, &s->peer_servers, &s->servers_pull, path, whole ? LIST_CALL_MS : CALL_MS, now_ms);
    bool list_offered = s->list_ms == NEVER && peers_first(s, &s->peer_servers, &s->servers_pull, now_ms);
    bool catalog_offered = !s->in_force && peers_first(s, &s->peer_catalog, &s->catalog_pull, now_ms);
    if (!s->servers.call && now_ms >= s->servers.next_ms && !list_offered &&
        cw_reader_due(&s->reader, s->list_ms, now_ms)) {
        read_source_servers(s, now_ms);
    }
    if (!s->catalog.call && now_ms >= s->catalog.next_ms && !catalog_offered &&
        cw_reader_due(&s->reader, s->catalog_ms, now_ms)) {
        read_source_catalog(s);
    }
}

static void fetch_init(sync_t* s, fetch_t* f, void (*on_answer)(sync_t*, unsigned, const char*, size_t),
                       void (*on_failure)(sync_t*, const char*)) {
    *f = (fetch_t){.sync = s, .client = s->client, .on_answer = on_answer, .on_failure = on_failure};
}

sync_t* sync_setup(const sync_desc_t* desc, cw_error_t* err) {
    sync_t* s = calloc(1, sizeof(*s));
    if (!s) {
        abort();
    }
    s->desc = *desc;
    s->reader = (cw_reader_t){.read_ms = desc->read_ms,
                              .late_ms = desc->late_ms,
                              .daemons = 1,
                              .started_ms = clock_ms(),
                              .nobody_calls = desc->nobody_calls,
                              .seed = desc->seed};
    s->list_ms = s->catalog_ms = s->pages_ms = s->closed_ms = NEVER;
    s->share = cw_httpd_setup(&(cw_httpd_desc_t){.loop = desc->loop,
                                                 .address = desc->share,
                                                 .max_connections = 64,
                                                 .idle_s = 10,
                                                 .on_request = on_share_request,
                                                 .user_data = s},
                              err);
    if (!s->share) {
        free(s);
        return NULL;
    }
    s->client = cw_client_setup(desc->loop, 8);
    fetch_init(s, &s->catalog, on_catalog_answer, on_catalog_failure);
    fetch_init(s, &s->servers, on_servers_answer, on_servers_failure);
    s->catalog.of_source = s->servers.of_source = true;
    fetch_init(s, &s->peer_catalog, on_peer_catalog, on_peer_failure);
    fetch_init(s, &s->peer_servers, on_peer_servers, on_peer_servers_failure);
    return s;
}

void sync_shutdown(sync_t* s) {
    fetch_t* const fetches[] = {&s->catalog, &s->servers, &s->peer_catalog, &s->peer_servers};
    for (size_t i = 0; i < sizeof(fetches) / sizeof(fetches[0]); i++) {
        fetch_cancel(fetches[i]);
    }
    cw_client_shutdown(s->client);
    cw_httpd_shutdown(s->share);
    cw_servers_free(&s->list);
    cw_changes_free(&s->changes);
    cw_servers_free(&s->pages);
    cw_catalog_release(s->in_force);
    free(s->text);
    free(s);
}
