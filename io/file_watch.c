#include "file_watch.h"

void cw_file_watch_note(cw_file_watch_t* w) {
    if (stat(w->path, &w->status) != 0) {
        w->status = (struct stat){0};
    }
}

bool cw_file_watch_has_changed(cw_file_watch_t* w, int64_t now_ms, uint32_t interval_ms) {
    struct stat now;
    const struct stat* noted = &w->status;
    if (now_ms - w->checked_ms < interval_ms) {
        return false;
    }
    w->checked_ms = now_ms;
    return stat(w->path, &now) == 0 &&
           (now.st_mtim.tv_sec != noted->st_mtim.tv_sec || now.st_mtim.tv_nsec != noted->st_mtim.tv_nsec ||
            now.st_size != noted->st_size || now.st_ino != noted->st_ino);
}
