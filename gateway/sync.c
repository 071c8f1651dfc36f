#include "sync.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../io/buffer.h"
#include "../io/httpd.h"
#include "clock.h"

#define CALL_MS 1000          /* a call to the source or a peer may take */
#define BACKOFF_MIN_MS 100    /* after a failed call */
#define BACKOFF_MAX_MS 1000
#define BODY_MAX (16U << 20)  /* longest answer that is read */
#define STALE_FACTOR 2        /* periods without a list of servers until a peer is asked */
#define PEER_EVERY_MS 300     /* between two readings of a peer's list */
#define NEVER INT64_MIN

/* One kind of call to the source or a peer. */
typedef struct fetch_t {
    sync_t* sync;
    cw_client_t* client;
    cw_call_t* call; /* NULL: none under way */
    cw_buffer_t body;
    int64_t next_ms;
    uint32_t backoff_ms;
    char peer[CW_SERVER_ADDRESS_MAX]; /* who is asked */
    void (*on_answer)(sync_t* s, unsigned status, const char* body, size_t size);
    void (*on_failure)(sync_t* s, const char* why);
} fetch_t;

struct sync_t {
    sync_desc_t desc;
    cw_client_t* client;
    cw_httpd_t* share;
    fetch_t catalog, servers, peer_catalog, peer_servers;
    int64_t watch_at; /* position of the watch, 0: read anew */
    cw_catalog_t* in_force;
    char* text; /* native document in force */
    cw_servers_t list;
    cw_servers_t pages; /* being read */
    char page_after[CW_NAME_MAX * 2];
    int64_t list_ms; /* when the list in force was true at the source, NEVER: none */
    bool lost;
    int64_t wanted; /* newest revision that a peer has told */
    sync_stats_t stats;
};

/* -- one call ------------------------------------------------------------- */

static bool on_data(void* user, const char* data, size_t size) {
    fetch_t* f = user;
    if (f->body.size + size <= BODY_MAX) {
        cw_buffer_add(&f->body, data, size);
    }
    return true;
}

static void on_done(void* user, const cw_call_result_t* result) {
    fetch_t* f = user;
    cw_buffer_t body = f->body;
    f->body = (cw_buffer_t){0};
    f->call = NULL;
    if (result->whole) {
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
    f->call = cw_client_call(f->client, &(cw_call_desc_t){.url = url,
                                                          .connect_ms = CALL_MS,
                                                          .timeout_ms = timeout_ms,
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

static void back_off(fetch_t* f) {
    f->backoff_ms = f->backoff_ms ? f->backoff_ms * 2 : BACKOFF_MIN_MS;
    f->backoff_ms = f->backoff_ms > BACKOFF_MAX_MS ? BACKOFF_MAX_MS : f->backoff_ms;
    f->next_ms = clock_ms() + f->backoff_ms / 2 + rand() % (f->backoff_ms / 2);
}

static void fetch_ok(fetch_t* f, uint32_t pause_ms) {
    f->backoff_ms = 0;
    f->next_ms = clock_ms() + pause_ms;
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
    cw_log(s->desc.log, CW_EVENT_CONFIG_CHANGED, "revision=%lld routes=%u pools=%u workspaces=%u from=%s",
           (long long)catalog->revision, catalog->route_count, catalog->pool_count, catalog->workspace_count, from);
    s->desc.on_catalog(s->desc.user_data, catalog);
}

/* Puts a list in force that was true at the time; takes it over. */
static void adopt_servers(sync_t* s, cw_servers_t* list, int64_t true_ms) {
    if (true_ms < s->list_ms || list->at < s->list.at) {
        cw_servers_free(list);
        return;
    }
    cw_servers_free(&s->list);
    s->list = *list;
    *list = (cw_servers_t){0};
    s->list_ms = true_ms;
    s->desc.on_servers(s->desc.user_data, &s->list);
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
    bool watching = s->watch_at > 0;
    if (watching && status == s->desc.source->watch_lost_status) {
        s->watch_at = 0;
        fetch_ok(&s->catalog, 0);
        return;
    }
    if (status != 200) {
        char why[32];
        snprintf(why, sizeof(why), "status %u", status);
        source_failed(s, &s->catalog, why);
        return;
    }
    cw_status_t read = watching ? s->desc.source->read_watch(body, size, &news, &err)
                                : s->desc.source->read_catalog(body, size, &news, &err);
    if (read != CW_OK) {
        refuse_answer(s, s->desc.address, &err);
        free(news.catalog);
        back_off(&s->catalog);
        s->watch_at = news.at > 0 ? news.at : s->watch_at; /* what is wrong there is not read again and again */
        return;
    }
    source_works(s);
    s->watch_at = news.at > 0 ? news.at : s->watch_at;
    fetch_ok(&s->catalog, 0);
    if (news.catalog) {
        adopt_catalog(s, news.catalog, s->desc.address);
    }
}

static void read_source_catalog(sync_t* s) {
    char path[256];
    s->stats.source_calls++;
    if (s->watch_at > 0) {
        s->desc.source->watch_path(path, sizeof(path), s->watch_at, s->desc.watch_ms);
        fetch(&s->catalog, s->desc.address, path, s->desc.watch_ms + CALL_MS);
    } else {
        s->desc.source->catalog_path(path, sizeof(path));
        fetch(&s->catalog, s->desc.address, path, CALL_MS);
    }
}

/* -- the source: servers -------------------------------------------------- */

static void read_source_servers(sync_t* s) {
    char path[512];
    s->stats.source_calls++;
    s->desc.source->servers_path(path, sizeof(path), s->page_after);
    fetch(&s->servers, s->desc.address, path, CALL_MS);
}

static void drop_pages(sync_t* s) {
    cw_servers_free(&s->pages);
    s->page_after[0] = 0;
}

/* The source is silent: a watch that waits there may hear nothing either, so it is begun anew when it answers. */
static void on_servers_failure(sync_t* s, const char* why) {
    drop_pages(s);
    source_failed(s, &s->servers, why);
    fetch_cancel(&s->catalog);
    s->watch_at = 0;
    s->catalog.next_ms = s->servers.next_ms;
}

static void on_servers_answer(sync_t* s, unsigned status, const char* body, size_t size) {
    source_news_t news = {0};
    cw_error_t err = {0};
    if (status != 200) {
        char why[32];
        snprintf(why, sizeof(why), "status %u", status);
        drop_pages(s);
        source_failed(s, &s->servers, why);
        return;
    }
    if (s->desc.source->read_servers(body, size, &s->pages, &news, &err) != CW_OK) {
        refuse_answer(s, s->desc.address, &err);
        drop_pages(s);
        back_off(&s->servers);
        return;
    }
    source_works(s);
    if (news.more && news.after[0]) {
        cw_copy(s->page_after, sizeof(s->page_after), news.after);
        read_source_servers(s);
        return;
    }
    fetch_ok(&s->servers, s->desc.servers_ms);
    adopt_servers(s, &s->pages, clock_ms());
    drop_pages(s);
}

/* -- peers ---------------------------------------------------------------- */

static void on_peer_failure(sync_t* s, const char* why) {
    (void)why;
    back_off(&s->peer_catalog);
}

static void on_peer_catalog(sync_t* s, unsigned status, const char* body, size_t size) {
    fetch_ok(&s->peer_catalog, 0);
    if (status == 200 && size) {
        adopt_catalog(s, strndup(body, size), s->peer_catalog.peer);
    }
    if (s->wanted > sync_revision(s)) {
        back_off(&s->peer_catalog);
    }
}

static void on_peer_servers_failure(sync_t* s, const char* why) {
    (void)why;
    back_off(&s->peer_servers);
}

static void on_peer_servers(sync_t* s, unsigned status, const char* body, size_t size) {
    cw_servers_t list = {0};
    cw_error_t err = {0};
    fetch_ok(&s->peer_servers, PEER_EVERY_MS);
    if (status != 200) {
        return;
    }
    if (cw_servers_read(&list, body, size, &err) != CW_OK) {
        refuse_answer(s, s->peer_servers.peer, &err);
        return;
    }
    adopt_servers(s, &list, clock_ms() - list.age_ms);
}

static void read_peer(sync_t* s, fetch_t* f, const char* address, const char* path) {
    s->stats.peer_calls++;
    fetch(f, address, path, CALL_MS);
}

void sync_on_peer_revision(sync_t* s, const char* share, int64_t revision) {
    s->wanted = revision > s->wanted ? revision : s->wanted;
    if (revision > sync_revision(s) && !s->peer_catalog.call && clock_ms() >= s->peer_catalog.next_ms) {
        read_peer(s, &s->peer_catalog, share, "/catalog");
    }
}

/* The age of the list in force. */
static int64_t list_age_ms(const sync_t* s, int64_t now_ms) {
    return s->list_ms == NEVER ? -1 : now_ms - s->list_ms;
}

static void ask_peers(sync_t* s, int64_t now_ms) {
    bool list_stale = s->list_ms == NEVER || now_ms - s->list_ms > (int64_t)STALE_FACTOR * s->desc.servers_ms;
    const char* peer = list_stale || !s->in_force ? s->desc.any_peer(s->desc.user_data) : NULL;
    if (!peer) {
        return;
    }
    if (list_stale && !s->peer_servers.call && now_ms >= s->peer_servers.next_ms) {
        read_peer(s, &s->peer_servers, peer, "/servers");
    }
    if (!s->in_force && s->lost && !s->peer_catalog.call && now_ms >= s->peer_catalog.next_ms) {
        read_peer(s, &s->peer_catalog, peer, "/catalog");
    }
}

/* -- sharing -------------------------------------------------------------- */

static void on_share_request(cw_exchange_t* x, void* user) {
    sync_t* s = user;
    static const cw_header_t json = {"Content-Type", "application/json"};
    const char* path = cw_exchange_path(x);
    if (strcmp(path, "/catalog") == 0 && s->text) {
        const char* after = cw_exchange_arg(x, "after");
        bool newer = !after || strtoll(after, NULL, 10) < sync_revision(s);
        cw_exchange_reply(x, 200, &json, 1, s->text, newer ? strlen(s->text) : 0);
    } else if (strcmp(path, "/servers") == 0 && s->list_ms != NEVER) {
        s->list.age_ms = (uint32_t)list_age_ms(s, clock_ms());
        char* text = cw_servers_text(&s->list);
        cw_exchange_reply(x, 200, &json, 1, text, strlen(text));
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

sync_stats_t sync_stats(const sync_t* s) {
    sync_stats_t stats = s->stats;
    stats.revision = sync_revision(s);
    stats.servers_age_ms = list_age_ms(s, clock_ms());
    stats.source_lost = s->lost;
    return stats;
}

void sync_tick(sync_t* s, int64_t now_ms) {
    if (!s->servers.call && now_ms >= s->servers.next_ms) {
        read_source_servers(s);
    }
    if (!s->catalog.call && now_ms >= s->catalog.next_ms) {
        read_source_catalog(s);
    }
    ask_peers(s, now_ms);
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
    s->list_ms = NEVER;
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
    cw_servers_free(&s->pages);
    cw_catalog_release(s->in_force);
    free(s->text);
    free(s);
}
